// Folders of a command's programs and of what it leaves.

package main

import (
	"os"
	"path/filepath"
)

// defaultFolders fills in what the command line left open: the folder of this program for bin, a new temporary
// one, whose name begins as told, for dir.
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
