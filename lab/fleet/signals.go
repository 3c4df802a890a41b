// Signals, restarts and the end of a fleet's processes, each by its own process id.

package fleet

import (
	"fmt"
	"syscall"
)

// Signal sends a signal to one process by its id.
func (f *Fleet) Signal(name string, sig syscall.Signal) error {
	f.mu.Lock()
	p := f.processes[name]
	f.mu.Unlock()
	if p == nil {
		return fmt.Errorf("no process %s", name)
	}
	p.stopping = p.stopping || sig == syscall.SIGKILL || sig == syscall.SIGTERM
	return p.cmd.Process.Signal(sig)
}

// Restart starts a stopped process again with the same arguments; running ones are left alone.
func (f *Fleet) Restart(name string) error {
	f.mu.Lock()
	p := f.processes[name]
	f.mu.Unlock()
	if p == nil {
		return fmt.Errorf("no process %s", name)
	}
	if !p.stopping {
		return nil
	}
	<-p.done
	return f.Start(p)
}

// Down stops every process.
func (f *Fleet) Down() {
	f.network.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
	}
	for _, p := range f.processes {
		<-p.done
	}
}
