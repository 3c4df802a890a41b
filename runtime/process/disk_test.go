// The data folder where the disk does not answer.

package process

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/kernel"
	"wallport/runtime/settings"
)

// A process that is to end does not wait for a disk that hangs: what is written aside counts for nothing.
func TestCloseDoesNotWaitForHungDisk(t *testing.T) {
	p := start(t, settings.Settings{Mesh: free(t), FleetSecret: "s"})
	dir := t.TempDir()
	d, _, err := openDisk(dir)
	must.NoError(t, err)
	// Whoever opens a pipe to write waits until somebody reads.
	aside := filepath.Join(dir, "file.aside")
	must.NoError(t, syscall.Mkfifo(aside, 0o600))
	d.enqueue(p, kernel.Write{Plugin: "mesh", Key: "w1", File: "file", Data: []byte("content")})
	ended := returnsInTime(d.close)
	reader, err := os.OpenFile(aside, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	must.NoError(t, err)
	reader.Close()
	must.True(t, ended)
}
