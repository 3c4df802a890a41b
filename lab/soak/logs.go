// Stores the logs of processes in files, and finds the faults that logs and exits show.

package soak

import (
	"os"
	"strings"
	"sync"
)

// pipeSize is the size in bytes of the pipe through which a process logs.
const pipeSize = 4096

// logFile writes a process's log to a file. While paused is locked, writes block and the process's pipe fills up.
type logFile struct {
	path   string
	paused sync.RWMutex
	file   *os.File
}

// Write appends to the file, which is created at the first write.
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

// faultMarkers are texts that must not occur in any process's log.
var faultMarkers = []string{"event=invariant_violated", "panic:", "panic serving", "fatal error:", "DATA RACE", "event=replica_rolled_back", "event=disk_damaged"}

// logFaults returns the process's unexpected exits and the lines of its log that contain a fault marker.
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
