// Rolling from an earlier release's programs to the current ones and back, one process at a time.

package fleet

import (
	"fmt"
	"path/filepath"
	"slices"
	"syscall"
)

// unsignedHeartbeatsFlag holds the settings that this release's programs need beside those that do not sign their heartbeats.
const unsignedHeartbeatsFlag = "--unsigned-beats"

// release stops a process gracefully and starts it with the other release's program.
func (f *Fleet) switchRelease(name string, newer bool) error {
	if f.options.Before == "" {
		return fmt.Errorf("needs --before, the folder of an earlier release's programs")
	}
	if err := f.Signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	f.mu.Lock()
	p := f.processes[name]
	f.mu.Unlock()
	<-p.done
	p.args = slices.DeleteFunc(slices.Clone(p.args), func(a string) bool { return a == unsignedHeartbeatsFlag })
	p.args[0] = filepath.Join(f.options.Before, "wallport")
	if newer {
		p.args[0] = filepath.Join(f.options.Bin, "wallport")
		p.args = append(p.args, unsignedHeartbeatsFlag)
	}
	return f.Start(p)
}
