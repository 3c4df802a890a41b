// A singleton task has at most one lease holder at a time, whichever leader is elected, partitioned or suspended.

package replica

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

const renewEvery = 200 * clock.Millisecond

// leaseHolder renews a lease every renewEvery, and counts the lease from when it sent the request.
type leaseHolder struct {
	name    string
	until   clock.Micros
	granted int
	// to returns the member that the holder considers to be the leader and sends its requests to; nil if there is
	// none.
	to func() *member
}

func (h *leaseHolder) renew(c *cluster) {
	c.after(renewEvery, func() { h.renew(c) })
	to := h.to()
	if to == nil {
		return
	}
	sentAt := c.now
	c.request(to, wire.KindLeaseRequest, 1, &wire.LeaseRequest{Task: "task", From: h.name}, func(f wire.Frame) {
		var r wire.LeaseReply
		must.NoError(c.t, wire.Decode(f.Body, &r))
		if r.Holder == h.name && r.Duration > 0 {
			h.granted++
			h.until = max(h.until, sentAt+r.Duration)
		}
	})
}

// TestLeaseHasOneHolderAcrossLeaderFaults has one process request the lease from the old leader, as a process on the
// old leader's side of a network partition would, and another process request it from the current leader.
func TestLeaseHasOneHolderAcrossLeaderFaults(t *testing.T) {
	leaderFaults := map[string]struct{ begin, end func(c *cluster, m *member) }{
		"cut":    {func(c *cluster, m *member) { c.isolate(m) }, func(c *cluster, m *member) { c.heal() }},
		"frozen": {func(c *cluster, m *member) { c.freeze(m) }, func(c *cluster, m *member) { c.thaw(m, 20*clock.Second) }},
	}
	for name, f := range leaderFaults {
		for _, size := range []int{3, 5} {
			for seed := range 6 * seedCount() {
				t.Run(fmt.Sprint(name, " ", size, " seed ", seed), func(t *testing.T) {
					c := newCluster(t, seed, size)
					old := c.committedLeader(0)
					kept := &leaseHolder{name: "kept", to: func() *member { return old }}
					other := &leaseHolder{name: "other", to: func() *member {
						if m := c.leader(0); m != old {
							return m
						}
						return nil
					}}
					kept.renew(c)
					other.renew(c)
					check := func() {
						must.False(t, c.now < kept.until && c.now < other.until, must.Sprintf(
							"two lease holders at %d ms: their leases end at %d and %d ms", c.now/1000, kept.until/1000, other.until/1000))
					}
					c.run(2*clock.Second+c.rnd.Int64N(clock.Second), check)
					must.Positive(t, kept.granted)
					f.begin(c, old)
					c.run(20*clock.Second, check)
					must.Positive(t, other.granted, must.Sprint("the other process must be granted the lease during the fault"))
					f.end(c, old)
					c.run(3*clock.Second, check)
				})
			}
		}
	}
}
