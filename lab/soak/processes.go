// Starts and restarts the product's processes as the platform does, and records their exits.

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

// The roles of processes.
const (
	roleNode = "node"
	roleCore = "core"
)

// restartAfter is the time between the end of a process and its restart.
const restartAfter = 200 * time.Millisecond

// daemon is one process of the product with all its incarnations.
type daemon struct {
	name, role string
	machine    int
	logPath    string
	log        logFile
	start      func() *exec.Cmd

	mu  sync.Mutex
	cmd *exec.Cmd
	// down prevents further starts; stopRequested reports that the incarnation was sent SIGTERM or SIGKILL.
	down, stopRequested bool
	// removed reports that the machine was removed permanently.
	removed bool
	// report logs every signal that is sent.
	report func(format string, args ...any)
	// frozen reports that the incarnation is suspended by SIGSTOP; frozenAt is the time of the last SIGSTOP.
	frozen   bool
	frozenAt time.Time
	// killed reports that the incarnation was sent SIGKILL, so that it cannot stop gracefully.
	killed       bool
	incarnations int
	// unexpectedExits describes the incarnations that ended although the run neither stopped nor killed them, or that
	// failed to stop gracefully.
	unexpectedExits []string
	closed          bool
	ended           chan struct{}
}

// newDaemon returns a process without starting it.
func newDaemon(o Options, p *layout, machine int, role string) *daemon {
	name := fmt.Sprintf("%s-%d", role, machine)
	d := &daemon{name: name, role: role, machine: machine, logPath: filepath.Join(o.Dir, name+".log"), ended: make(chan struct{})}
	d.log.path = d.logPath
	listenAddr := fmt.Sprintf("%s:%d", p.listenIP(machine, role), p.first)
	d.start = func() *exec.Cmd {
		cmd := exec.Command(filepath.Join(o.Bin, "wallport"), role, "--on-platform", "--mesh-listen", listenAddr)
		cmd.Env = append(os.Environ(), "WALLPORT_CONFIG="+p.settingsPath(machine, role))
		return cmd
	}
	return d
}

// run starts the process, and restarts it after each exit unless down is set, until the process is closed.
func (d *daemon) run() {
	defer close(d.ended)
	for {
		if d.awaitUp() {
			return
		}
		err := d.runIncarnation()
		d.mu.Lock()
		if !d.closed && !d.expectedExit(err) {
			d.unexpectedExits = append(d.unexpectedExits, fmt.Sprintf("%s, incarnation %d: %v", d.name, d.incarnations, err))
		}
		d.cmd = nil
		d.mu.Unlock()
		time.Sleep(restartAfter)
	}
}

// expectedExit reports whether the run caused an incarnation's exit: the incarnation was killed, or was sent SIGTERM
// and then either stopped gracefully or, if it had not yet installed its handler, was terminated by the signal. The
// caller holds the lock.
func (d *daemon) expectedExit(err error) bool {
	return d.killed || d.stopRequested && (err == nil || err.Error() == "signal: terminated")
}

// awaitUp waits until the process may start; true means that it was closed instead.
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

// runIncarnation starts an incarnation, waits for its end and returns its exit error.
func (d *daemon) runIncarnation() error {
	cmd := d.start()
	read, write, err := os.Pipe()
	if err != nil {
		return err
	}
	// The pipe is small, so that the process soon blocks if its log is not read.
	unix.FcntlInt(write.Fd(), unix.F_SETPIPE_SZ, pipeSize)
	cmd.Stdout, cmd.Stderr = write, write
	d.mu.Lock()
	d.incarnations++
	d.stopRequested, d.killed, d.frozen = false, false, false
	fmt.Fprintf(&d.log, "== incarnation %d\n", d.incarnations)
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
	// The process has ended, but its log may not have been read completely.
	d.mu.Lock()
	d.cmd = nil
	d.mu.Unlock()
	<-copied
	return err
}
