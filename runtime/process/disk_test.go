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

func TestCloseDoesNotWaitForHungDisk(t *testing.T) {
	p := start(t, settings.Settings{Mesh: freeAddr(t), FleetSecret: "s"})
	dir := t.TempDir()
	d, _, err := openDisk(dir)
	must.NoError(t, err)
	// Opening a named pipe for writing blocks until it is opened for reading, which simulates a hung disk.
	tempPath := filepath.Join(dir, "file.aside")
	must.NoError(t, syscall.Mkfifo(tempPath, 0o600))
	d.enqueue(p, kernel.Write{Plugin: "mesh", Key: "w1", File: "file", Data: []byte("content")})
	closed := returnsInTime(d.close)
	reader, err := os.OpenFile(tempPath, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	must.NoError(t, err)
	reader.Close()
	must.True(t, closed)
}
