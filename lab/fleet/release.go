// Rolling upgrades from an earlier release's programs to the current ones, and downgrades, one process at a time.

package fleet

import (
	"fmt"
	"path/filepath"
	"slices"
	"syscall"
)

// unsignedHeartbeatsFlag makes this release's programs accept the heartbeats of earlier releases, which are not
// signed.
const unsignedHeartbeatsFlag = "--unsigned-beats"

// switchRelease stops a process gracefully and restarts it with the current program if newer is true, otherwise with
// the earlier release's program.
func (f *Fleet) switchRelease(name string, newer bool) error {
	if f.options.EarlierBin == "" {
		return fmt.Errorf("verbs upgrade and downgrade need --before, the folder of an earlier release's programs")
	}
	if err := f.Signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	f.mu.Lock()
	p := f.processes[name]
	f.mu.Unlock()
	<-p.done
	p.args = slices.DeleteFunc(slices.Clone(p.args), func(a string) bool { return a == unsignedHeartbeatsFlag })
	p.args[0] = filepath.Join(f.options.EarlierBin, "wallport")
	if newer {
		p.args[0] = filepath.Join(f.options.Bin, "wallport")
		p.args = append(p.args, unsignedHeartbeatsFlag)
	}
	return f.Start(p)
}
