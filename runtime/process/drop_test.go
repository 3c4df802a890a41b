package process

import (
	"sync/atomic"
	"testing"

	"wallport/runtime/kernel"
	"wallport/runtime/settings"
)

func TestDropDoesNotBlockFullLoop(t *testing.T) {
	a := start(t, settings.Settings{Mesh: freeAddr(t), FleetSecret: "s"})
	b := start(t, settings.Settings{Mesh: freeAddr(t), FleetSecret: "s", Seeds: []string{a.Kernel.Boot.Settings.Mesh}})
	until(t, "both processes connect", func() bool { return a.peers() == 1 && b.peers() == 1 })
	var dropped atomic.Bool
	go a.Do(func(int64) {
		// Fill the inbox as a flood of frames would.
		for full := false; !full; {
			select {
			case a.inbox <- kernel.Tick{}:
			default:
				full = true
			}
		}
		a.transport.mu.Lock()
		var open []uint64
		for id := range a.transport.open {
			open = append(open, id)
		}
		a.transport.mu.Unlock()
		for _, id := range open {
			a.transport.drop(id)
		}
		dropped.Store(true)
	})
	until(t, "drop returns although the inbox is full", dropped.Load)
	until(t, "the loop handles the queued inputs and the end of the connection", func() bool { return a.Kernel.Counts.Of("steps").Load() > maxInbox })
}
