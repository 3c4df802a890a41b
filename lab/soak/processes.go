// The product's processes: starting, signalling and restarting them as the
// platform does, each by its own id, and what their ends and logs tell.
package soak

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The roles.
const (
	roleNode = "node"
	roleCore = "core"
)

// pipeSize is how many bytes of its log a process may be ahead of whoever reads it.
const pipeSize = 4096

// logFile keeps what a process logs. While it is held nothing is read.
type logFile struct {
	path string
	held sync.RWMutex
	file *os.File
}

func (l *logFile) Write(b []byte) (int, error) {
	l.held.RLock()
	defer l.held.RUnlock()
	if l.file == nil {
		f, err := os.OpenFile(l.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return 0, err
		}
		l.file = f
	}
	return l.file.Write(b)
}

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
	down, told bool
	// removed is that its machine is gone for good.
	removed bool
	// say is told of every signal.
	say func(format string, args ...any)
	// frozen is that it is stopped by a signal now; frozeAt when it was last.
	frozen  bool
	frozeAt time.Time
	// killed is that it was killed: it cannot end as planned.
	killed bool
	lives  int
	// ownEnds tells of the lives that ended by themselves.
	ownEnds []string
	closed  bool
	over    chan struct{}
}

// newDaemon is a process that does not run yet.
func newDaemon(o Options, p *place, machine int, role string) *daemon {
	name := fmt.Sprintf("%s-%d", role, machine)
	d := &daemon{name: name, role: role, machine: machine, logPath: filepath.Join(o.Dir, name+".log"), over: make(chan struct{})}
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
	defer close(d.over)
	for {
		if d.awaitUp() {
			return
		}
		err := d.live()
		d.mu.Lock()
		if !d.closed && (!d.told || !d.killed && err != nil) {
			d.ownEnds = append(d.ownEnds, fmt.Sprintf("%s, life %d: %v", d.name, d.lives, err))
		}
		d.cmd = nil
		d.mu.Unlock()
		time.Sleep(restartAfter)
	}
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
	d.lives++
	d.told, d.killed, d.frozen = false, false, false
	fmt.Fprintf(&d.log, "== life %d\n", d.lives)
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

// signal sends a signal to the life that runs now, if one does.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	if sig == syscall.SIGHUP && !runs(d.cmd.Process.Pid) {
		// The loader is at work yet: no program can be ready for a signal.
		return
	}
	d.say("%s gets %v", d.name, sig)
	switch sig {
	case syscall.SIGSTOP:
		d.frozen, d.frozeAt = true, time.Now()
	case syscall.SIGCONT:
		d.frozen = false
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		d.told, d.killed = true, d.killed || sig == syscall.SIGKILL
	}
	d.cmd.Process.Signal(sig)
}

// runs tells that a process has come so far as to handle or ignore any signal.
func runs(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	for _, line := range strings.Split(string(text), "\n") {
		name, mask, _ := strings.Cut(line, ":\t")
		if (name == "SigIgn" || name == "SigCgt") && strings.Trim(mask, "0") != "" {
			return true
		}
	}
	return false
}

// setDown keeps the process from starting again, or lets it.
func (d *daemon) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down || d.removed
}

// remove takes the process's machine away for good.
func (d *daemon) remove() {
	d.mu.Lock()
	d.removed, d.down = true, true
	d.mu.Unlock()
	d.signal(syscall.SIGKILL)
}

// pid is the id of the life that runs now; 0 is none.
func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return 0
	}
	return d.cmd.Process.Pid
}

// frozeSince tells whether the process was frozen at any time since a moment.
func (d *daemon) frozeSince(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.frozen || d.frozeAt.After(at)
}

// stop has a process end as planned; it is killed when its grace is over, as the platform does. It is
// told whether that was its own fault: one that is frozen meanwhile cannot end.
func (d *daemon) stop() (overdue bool) {
	pid := d.pid()
	if pid == 0 {
		return false
	}
	began := time.Now()
	d.signal(syscall.SIGTERM)
	for end := time.Now().Add(graceS * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if d.pid() != pid {
			return false
		}
	}
	d.signal(syscall.SIGKILL)
	return !d.frozeSince(began)
}

// close ends the process for good.
func (d *daemon) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	if d.began() {
		<-d.over
	}
}

// began tells that the process was ever to run.
func (d *daemon) began() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lives > 0
}

// logMarks are what no log may hold.
var logMarks = []string{"event=invariant_violated", "panic:", "panic serving", "fatal error:", "DATA RACE", "event=replica_rolled_back", "event=disk_damaged"}

// faults lists what the process's ends and logs tell of faults.
func (d *daemon) faults() []string {
	d.mu.Lock()
	out := append([]string(nil), d.ownEnds...)
	d.mu.Unlock()
	text, err := os.ReadFile(d.logPath)
	if os.IsNotExist(err) {
		return out
	}
	if err != nil {
		return append(out, err.Error())
	}
	for _, line := range strings.Split(string(text), "\n") {
		for _, mark := range logMarks {
			if strings.Contains(line, mark) {
				out = append(out, d.name+": "+line)
			}
		}
	}
	return out
}
