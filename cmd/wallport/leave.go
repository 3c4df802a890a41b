// A core that stops leaves its groups before its process ends.

package main

import (
	"time"

	"wallport/control/replica"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/process"
)

const (
	// leavePollInterval is how often a core that stops looks whether it has left.
	leavePollInterval = 10 * time.Millisecond
	// finalSendDelay is how long the last frames have to leave the process.
	finalSendDelay = 50 * time.Millisecond
)

// leaveGroups waits until a core that stops leads nothing and votes nowhere, or until its time
// for that is over: where nobody can take its place it stays a voter to the end.
func leaveGroups(p *process.Process) {
	host := kernel.Find[*replica.Host](p.Kernel)
	if host == nil {
		return
	}
	left := false
	for end := time.Now().Add(clock.Duration(replica.LeaveTimeout)); !left && time.Now().Before(end); time.Sleep(leavePollInterval) {
		p.Do(func(int64) { left = host.HasLeft() })
	}
	time.Sleep(finalSendDelay)
}
