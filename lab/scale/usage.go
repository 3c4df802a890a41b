// What a process of the system has used so far, as the kernel tells it under /proc.

package scale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Usage of one process of the system. Times are in microseconds, sizes in bytes; Read and
// Written are the bytes of all its reads and writes, of sockets with TLS and HTTP as of files.
type Usage struct {
	AtUs, CPUUs    int64
	RSS, PeakRSS   int64
	Read, Written  int64
	Reads, Writes  int64
	Files, Sockets int64
}

// clockTick is the unit of times under /proc, 1/100 s on Linux.
const clockTick = 10_000

// ReadUsage reads it for a process, which may be this one.
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

// cpuOf is the user's and the system's time together.
func cpuOf(stat string) (int64, error) {
	// The name may hold blanks and parentheses; what follows the last one does not.
	f := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(f) < 13 {
		return 0, fmt.Errorf("stat has %d fields", len(f))
	}
	user, err := strconv.ParseInt(f[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(f[12], 10, 64)
	return (user + system) * clockTick, err
}

// field is the first number behind a name of a file of "name: number" lines.
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

// resetPeakMemory has the kernel count a process's peak of memory from now on.
func resetPeakMemory(pid int) error {
	return os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte("5"), 0)
}

// loadAverage1m is the number of processes that ran or waited to run, over the last minute.
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
