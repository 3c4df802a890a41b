// The product's processes: starting, signalling and restarting them as the platform does, each by its own
// process id, and what their exits and logs show.

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

// restartAfter is how long after its end a process restarts.
const restartAfter = 200 * time.Millisecond

// daemon is one process of the product, through all its incarnations.
type daemon struct {
	name, role string
	machine    int
	logPath    string
	log        logFile
	start      func() *exec.Cmd

	mu  sync.Mutex
	cmd *exec.Cmd
	// down keeps it from starting again; stopRequested reports that it was told to end, or killed.
	down, stopRequested bool
	// removed reports that its machine is gone for good.
	removed bool
	// report is called for every signal.
	report func(format string, args ...any)
	// frozen reports that it is stopped by a signal now; frozenAt is when it last was.
	frozen   bool
	frozenAt time.Time
	// killed reports that it was killed: it cannot stop gracefully.
	killed       bool
	incarnations int
	// unexpectedExits describes the incarnations that ended by themselves.
	unexpectedExits []string
	closed          bool
	ended           chan struct{}
}

// newDaemon returns a process that does not run yet.
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

// run restarts the process until the run is over.
func (d *daemon) run() {
	defer close(d.ended)
	for {
		if d.awaitUp() {
			return
		}
		err := d.runIncarnation()
		d.mu.Lock()
		if !d.closed && !d.expectedExit(err) {
			d.unexpectedExits = append(d.unexpectedExits, fmt.Sprintf("%s, life %d: %v", d.name, d.incarnations, err))
		}
		d.cmd = nil
		d.mu.Unlock()
		time.Sleep(restartAfter)
	}
}

// explains reports whether an incarnation was to end as it did: it was killed, or told to stop and did so,
// gracefully or by the signal itself where that came before the program could handle it. The caller holds the
// lock.
func (d *daemon) expectedExit(err error) bool {
	return d.killed || d.stopRequested && (err == nil || err.Error() == "signal: terminated")
}

// awaitUp waits until the process may run; true means that the run is over.
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

// live runs one incarnation of the process to its end.
func (d *daemon) runIncarnation() error {
	cmd := d.start()
	read, write, err := os.Pipe()
	if err != nil {
		return err
	}
	// Small, so that the process soon notices a reader that stops.
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
	// It has ended, though its log may not be read completely yet.
	d.mu.Lock()
	d.cmd = nil
	d.mu.Unlock()
	<-copied
	return err
}
