// The logs of processes, kept in files, and the faults that their logs and exits show.

package soak

import (
	"os"
	"strings"
	"sync"
)

// pipeSize is how many bytes a process's log may be ahead of its reader.
const pipeSize = 4096

// logFile stores what a process logs. While it is paused nothing is read.
type logFile struct {
	path   string
	paused sync.RWMutex
	file   *os.File
}

func (l *logFile) Write(b []byte) (int, error) {
	l.paused.RLock()
	defer l.paused.RUnlock()
	if l.file == nil {
		f, err := os.OpenFile(l.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return 0, err
		}
		l.file = f
	}
	return l.file.Write(b)
}

// faultMarkers must not occur in any log.
var faultMarkers = []string{"event=invariant_violated", "panic:", "panic serving", "fatal error:", "DATA RACE", "event=replica_rolled_back", "event=disk_damaged"}

// logFaults returns the faults that the process's exits and logs show.
func (d *daemon) logFaults() []string {
	d.mu.Lock()
	out := append([]string(nil), d.unexpectedExits...)
	d.mu.Unlock()
	text, err := os.ReadFile(d.logPath)
	if os.IsNotExist(err) {
		return out
	}
	if err != nil {
		return append(out, err.Error())
	}
	for _, line := range strings.Split(string(text), "\n") {
		for _, mark := range faultMarkers {
			if strings.Contains(line, mark) {
				out = append(out, d.name+": "+line)
			}
		}
	}
	return out
}
