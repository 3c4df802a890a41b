// Default folders for the programs that a command runs and for its output.

package main

import (
	"os"
	"path/filepath"
)

// defaultFolders sets the folders that the command line left empty: bin to the folder of this program, dir to a
// new temporary folder whose name begins with prefix.
func defaultFolders(bin, dir *string, prefix string) error {
	if *bin == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		*bin = filepath.Dir(self)
	}
	if *dir != "" {
		return nil
	}
	made, err := os.MkdirTemp("", prefix)
	*dir = made
	return err
}
