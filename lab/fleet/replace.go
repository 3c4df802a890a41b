// Replaces cores, finds the leading core and limits the file sizes of processes.

package fleet

import (
	"fmt"
	"net/http"
	"path/filepath"
	"syscall"

	"golang.org/x/sys/unix"
)

// replaceCore kills a core permanently and starts a core without data in the same zone at a new address.
func (f *Fleet) replaceCore(old, name string) error {
	if err := f.Signal(old, syscall.SIGKILL); err != nil {
		return err
	}
	f.mu.Lock()
	f.stopped[old] = true
	zone := f.processes[old].zone
	f.mu.Unlock()
	addrs, err := ports(commonIP, 2)
	if err != nil {
		return err
	}
	return f.daemon("core", name, zone, addrs[0], addrs[1], "--data", filepath.Join(f.options.Dir, name))
}

// leadingCore returns the core that leads the most partitions of the control state, by the cores' own metrics. It
// returns core-0 if no core responds.
func (f *Fleet) leadingCore() string {
	best, most := "core-0", int64(-1)
	for name, p := range f.processes {
		if p.Data == "" || f.stopped[name] {
			continue
		}
		resp, err := http.Get("http://" + p.operator + "/metrics")
		if err != nil {
			continue
		}
		if n := readMetric(resp, "wallport_part_owned_now"); n > most {
			best, most = name, n
		}
	}
	return best
}

// fileLimit makes a process's writes fail, as on a full disk, if they would extend a file beyond maxBytes; 0 removes
// the limit.
func (f *Fleet) fileLimit(name string, maxBytes uint64) error {
	f.mu.Lock()
	p := f.processes[name]
	f.mu.Unlock()
	if p == nil {
		return fmt.Errorf("no process %s", name)
	}
	lim := unix.Rlimit{Cur: maxBytes, Max: unix.RLIM_INFINITY}
	if maxBytes == 0 {
		lim.Cur = unix.RLIM_INFINITY
	}
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &lim, nil)
}

// forEachProcess calls do for every process except the platform and replaced cores, and stops at the first error.
func (f *Fleet) forEachProcess(do func(name string) error) error {
	f.mu.Lock()
	var names []string
	for name := range f.processes {
		if name != "platform" && !f.stopped[name] {
			names = append(names, name)
		}
	}
	f.mu.Unlock()
	for _, name := range names {
		if err := do(name); err != nil {
			return err
		}
	}
	return nil
}
