// Faults of cores: kills, freezes, graceful stops, a kill of all cores, and disks that are full, stalled or lost.

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

func coreFaults() []faultKind {
	return []faultKind{
		{"core_kill", 4, killCore},
		{"core_freeze", 3, freeze(roleCore)},
		{"core_stop", 3, stopCore},
		{"core_power_all", 1, powerOffAllCores},
		{"disk_full", 2, diskFull},
		{"disk_stall", 2, diskStall},
		{"disk_lost", 1, diskLost},
	}
}

func anyCore(r *run, rng *rand.Rand) *daemon { return r.daemonOf(roleCore, rng.IntN(coreCount)) }

func killCore(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	r.withFault(faultSpan{disruptsCores: true}, func() { killFor(ctx, anyCore(r, rng), duration) })
}

func stopCore(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	r.withFault(faultSpan{disruptsCores: true, planned: true}, func() { r.stopGracefully(anyCore(r, rng)) })
}

// powerOffAllCores kills all cores at the same time; they keep their disks.
func powerOffAllCores(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	r.withFault(faultSpan{disruptsCores: true}, func() {
		var all sync.WaitGroup
		for n := range coreCount {
			all.Go(func() { killFor(ctx, r.daemonOf(roleCore, n), duration/4) })
		}
		all.Wait()
	})
}

// diskFull makes a core's writes to its disk fail by limiting the size of its files to 1 byte.
func diskFull(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	d := anyCore(r, rng)
	r.withFault(faultSpan{disruptsCores: true}, func() {
		r.logf("the disk of %s is full", d.name)
		limitFiles(d, 1)
		sleep(ctx, duration)
		limitFiles(d, unix.RLIM_INFINITY)
	})
}

// limitFiles sets the maximum size of the files that a process may write.
func limitFiles(d *daemon, maxBytes uint64) {
	if pid := d.pid(); pid > 0 {
		unix.Prlimit(pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: maxBytes, Max: unix.RLIM_INFINITY}, nil)
	}
}

// diskStall makes a core's writes hang and then fail. It creates named pipes without a reader at the paths of the
// temporary files that the core writes next: its votes, versions and disk probe.
func diskStall(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	d := anyCore(r, rng)
	dir := r.layout.dataDir(d.machine)
	var pipes []string
	for _, name := range nextFiles(dir) {
		path := filepath.Join(dir, name+".aside")
		if syscall.Mkfifo(path, 0o600) == nil {
			pipes = append(pipes, path)
		}
	}
	r.withFault(faultSpan{disruptsCores: true}, func() {
		r.logf("the disk of %s stalls", d.name)
		sleep(ctx, duration)
		for _, path := range pipes {
			drainPipe(path)
		}
	})
}

// maxPreparedFiles is the number of versions after each stored version for which diskStall creates pipes.
const maxPreparedFiles = 6

// nextFiles returns the names of the files that a core writes next: the probe file, the existing files that are
// not versions, and the versions that follow each existing version of a partition in the same term.
func nextFiles(dir string) []string {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil
	}
	names := []string{"probe"}
	for _, e := range entries {
		var partition int
		var term, seq uint64
		if n, _ := fmt.Sscanf(e.Name(), "part-%d.stamp-%d-%d", &partition, &term, &seq); n != 3 {
			names = append(names, e.Name())
			continue
		}
		for ahead := uint64(1); ahead <= maxPreparedFiles; ahead++ {
			names = append(names, fmt.Sprintf("part-%d.stamp-%012d-%012d", partition, term, seq+ahead))
		}
	}
	return names
}

// drainPipe unblocks the writers of a pipe and removes it.
func drainPipe(path string) {
	defer os.Remove(path)
	f, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return
	}
	defer f.Close()
	// Blocked writers proceed now; what they write is discarded.
	time.Sleep(50 * time.Millisecond)
}

// diskLost deletes a core's data while the core is down. Only one disk is lost at a time, and none while another core
// is or recently was faulty, because together these faults could exceed what the deployment tolerates.
func diskLost(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	if !r.coreGate.tryAcquire() {
		return
	}
	defer r.coreGate.release()
	d := anyCore(r, rng)
	r.recordFault(faultSpan{disruptsCores: true}, func() {
		d.setDown(true)
		d.signal(syscall.SIGKILL)
		for d.pid() != 0 {
			time.Sleep(5 * time.Millisecond)
		}
		os.RemoveAll(r.layout.dataDir(d.machine))
		sleep(ctx, duration/2)
		d.setDown(false)
	})
	sleep(ctx, syncTime)
}

// syncTime is the time for which a core still counts as lost after its restart, since it may not have caught up. A
// disk may be lost only if no core was faulty for that time.
const syncTime = 6 * time.Second
