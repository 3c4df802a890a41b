package main

import (
	"time"

	"wallport/control/replica"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/process"
)

const (
	// leavePollInterval is the time between two looks whether a stopping core has left its groups.
	leavePollInterval = 10 * time.Millisecond
	// finalSendDelay is how long the last frames have to leave the process.
	finalSendDelay = 50 * time.Millisecond
)

// leaveGroups waits until a stopping core leads no group and votes in none, at most for replica.LeaveWithin: where no
// other core can take its place, it stays a voter to the end. On a node it returns at once.
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
