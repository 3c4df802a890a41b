// The resource use of an OS process so far, as read from /proc.

package scale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Usage is the resource use of one OS process. Times are in microseconds, sizes in bytes. Read and Written are the bytes
// of all its reads and writes: on sockets, including TLS and HTTP, and on files.
type Usage struct {
	AtUs, CPUUs    int64
	RSS, PeakRSS   int64
	Read, Written  int64
	Reads, Writes  int64
	Files, Sockets int64
}

// clockTick is the unit of times under /proc in microseconds: 1/100 s on Linux.
const clockTick = 10_000

// ReadUsage reads the resource use of a process, which may be the calling one.
func ReadUsage(pid int) (u Usage, err error) {
	u.AtUs = wallUs()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	if u.CPUUs, err = cpuOf(string(stat)); err != nil {
		return u, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	for name, v := range map[string]*int64{"VmRSS": &u.RSS, "VmHWM": &u.PeakRSS} {
		*v = field(string(status), name) << 10
	}
	io, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, err
	}
	for name, v := range map[string]*int64{"rchar": &u.Read, "wchar": &u.Written, "syscr": &u.Reads, "syscw": &u.Writes} {
		*v = field(string(io), name)
	}
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	list, err := os.ReadDir(dir)
	if err != nil {
		return u, err
	}
	for _, e := range list {
		u.Files++
		if to, err := os.Readlink(dir + "/" + e.Name()); err == nil && strings.HasPrefix(to, "socket:") {
			u.Sockets++
		}
	}
	return u, nil
}

// cpuOf returns the sum of the user and system CPU time in the content of a /proc/PID/stat file, in microseconds.
func cpuOf(stat string) (int64, error) {
	// The command name may contain blanks and parentheses; the fields after the last parenthesis do not.
	f := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(f) < 13 {
		return 0, fmt.Errorf("/proc stat has %d fields after the command name, expected at least 13", len(f))
	}
	user, err := strconv.ParseInt(f[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(f[12], 10, 64)
	return (user + system) * clockTick, err
}

// field returns the first number after a name in a text of "name: number" lines, 0 if there is none.
func field(text, name string) int64 {
	for line := range strings.Lines(text) {
		if k, v, ok := strings.Cut(line, ":"); ok && k == name {
			if f := strings.Fields(v); len(f) > 0 {
				n, _ := strconv.ParseInt(f[0], 10, 64)
				return n
			}
		}
	}
	return 0
}

// resetPeakMemory resets a process's peak memory, as recorded by the OS kernel, to its current memory.
func resetPeakMemory(pid int) error {
	return os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte("5"), 0)
}

// loadAverage1m returns the load average of the last minute: the mean number of processes that were running or waiting
// to run; 0 if it cannot be read.
func loadAverage1m() float64 {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b))
	if len(f) == 0 {
		return 0
	}
	v, _ := strconv.ParseFloat(f[0], 64)
	return v
}
