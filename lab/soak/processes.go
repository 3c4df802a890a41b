// The product's processes: starting, signalling and restarting them as the
// platform does, each by its own id, and what their ends and logs tell.

package soak

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// The roles.
const (
	roleNode = "node"
	roleCore = "core"
)

// restartAfter is how long after its end a process starts again.
const restartAfter = 200 * time.Millisecond

// daemon is one process of the product, in all its lives.
type daemon struct {
	name, role string
	machine    int
	logPath    string
	log        logFile
	start      func() *exec.Cmd

	mu  sync.Mutex
	cmd *exec.Cmd
	// down keeps it from starting again; told is that it was told to end, or killed.
	down, stopRequested bool
	// removed is that its machine is gone for good.
	removed bool
	// report is told of every signal.
	report func(format string, args ...any)
	// frozen is that it is stopped by a signal now; frozenAt when it was last.
	frozen   bool
	frozenAt time.Time
	// killed is that it was killed: it cannot end as planned.
	killed       bool
	incarnations int
	// ownEnds tells of the lives that ended by themselves.
	ownEnds []string
	closed  bool
	ended   chan struct{}
}

// newDaemon is a process that does not run yet.
func newDaemon(o Options, p *place, machine int, role string) *daemon {
	name := fmt.Sprintf("%s-%d", role, machine)
	d := &daemon{name: name, role: role, machine: machine, logPath: filepath.Join(o.Dir, name+".log"), ended: make(chan struct{})}
	d.log.path = d.logPath
	behind := fmt.Sprintf("%s:%d", p.behindIP(machine, role), p.first)
	d.start = func() *exec.Cmd {
		cmd := exec.Command(filepath.Join(o.Bin, "wallport"), role, "--on-platform", "--mesh-listen", behind)
		cmd.Env = append(os.Environ(), "WALLPORT_CONFIG="+p.settingsPath(machine, role))
		return cmd
	}
	return d
}

// run starts the process again and again until the run is over.
func (d *daemon) run() {
	defer close(d.ended)
	for {
		if d.awaitUp() {
			return
		}
		err := d.live()
		d.mu.Lock()
		if !d.closed && !d.explains(err) {
			d.ownEnds = append(d.ownEnds, fmt.Sprintf("%s, life %d: %v", d.name, d.incarnations, err))
		}
		d.cmd = nil
		d.mu.Unlock()
		time.Sleep(restartAfter)
	}
}

// explains tells that a life was to end as it did: it was killed, or told to stop and did so - as planned,
// or by the signal itself, where that came before the program could ask for it. The lock is held.
func (d *daemon) explains(err error) bool {
	return d.killed || d.stopRequested && (err == nil || err.Error() == "signal: terminated")
}

// awaitUp waits until the process may run; true is that the run is over.
func (d *daemon) awaitUp() bool {
	for {
		d.mu.Lock()
		down, closed := d.down, d.closed
		d.mu.Unlock()
		if closed || !down {
			return closed
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// live runs one life of the process to its end.
func (d *daemon) live() error {
	cmd := d.start()
	read, write, err := os.Pipe()
	if err != nil {
		return err
	}
	// Small, so that a reader which stops is soon felt.
	unix.FcntlInt(write.Fd(), unix.F_SETPIPE_SZ, pipeSize)
	cmd.Stdout, cmd.Stderr = write, write
	d.mu.Lock()
	d.incarnations++
	d.stopRequested, d.killed, d.frozen = false, false, false
	fmt.Fprintf(&d.log, "== life %d\n", d.incarnations)
	err = cmd.Start()
	if err == nil {
		d.cmd = cmd
	}
	d.mu.Unlock()
	write.Close()
	if err != nil {
		read.Close()
		return err
	}
	copied := make(chan struct{})
	go func() {
		io.Copy(&d.log, read)
		read.Close()
		close(copied)
	}()
	err = cmd.Wait()
	// It has ended, though what it logged may not be read yet.
	d.mu.Lock()
	d.cmd = nil
	d.mu.Unlock()
	<-copied
	return err
}
