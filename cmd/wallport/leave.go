package main

import (
	"time"

	"wallport/control/replica"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/process"
)

const (
	// leavePollInterval is the interval at which a stopping core checks whether it has left its replica groups.
	leavePollInterval = 10 * time.Millisecond
	// finalSendDelay is how long a process waits before it ends, so that its last frames are sent.
	finalSendDelay = 50 * time.Millisecond
)

// leaveGroups waits until a stopping core is neither leader nor voter of any replica group, but at most for
// replica.LeaveTimeout: if no other core can replace it, it remains a voter until the process ends. On a node it returns
// immediately.
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
