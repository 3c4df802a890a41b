package discovery

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/cluster/mesh"
	"wallport/lab/violation"
	"wallport/runtime/invariant"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// requests lets time pass until the node has requested the lease once more, and returns the
// request's id.
func (r *rig) requests() uint64 {
	for before := r.lister.lastRequestID; r.lister.lastRequestID == before; {
		r.run(10_000)
	}
	return r.lister.lastRequestID
}

func (r *rig) grant(id uint64) {
	granted := &wire.LeaseReply{Task: LeaseTask, Holder: r.lister.mesh.Self(), Duration: 800_000, LeaseID: 3}
	r.feed(kernel.Received{Data: wire.Seal(wire.KindLeaseReply, id, granted)})
}

func TestLeaseStartsWhenRequested(t *testing.T) {
	r := newRig(t, settings.Settings{PollsPer10s: 20})
	r.learnLeader()
	id := r.requests()
	asked := r.now
	r.run(700_000)
	r.grant(id)
	must.Between(t, asked+790_000, r.lister.leaseUntil, asked+800_000)
	r.grant(id + 100)
	must.Less(t, asked+800_001, r.lister.leaseUntil, must.Sprint("nobody asked for that one"))
}

// A grant on its way while the lease is released, or the process is frozen, is ignored.
func TestReleasedLeaseIsNotResumed(t *testing.T) {
	r := newRig(t, settings.Settings{PollsPer10s: 20})
	r.learnLeader()
	id := r.requests()
	r.feed(kernel.Thawed{Gap: 2 * second})
	r.grant(id)
	must.Zero(t, r.lister.leaseUntil)
}

// While a node holds the lease nobody else reads under a later one.
func TestSecondLeaseHolderIsReported(t *testing.T) {
	r := newRig(t, settings.Settings{PollsPer10s: 20})
	r.learnLeader()
	r.grant(r.requests())
	reads := func(turn uint64) invariant.Name {
		body := wire.Encode(&wire.BackendList{LeaseID: turn})
		return violation.By(func() {
			r.lister.handleStored(&kernel.Context{Now: r.now, Counts: r.k.Counts}, mesh.Stored{Entry: &wire.Entry{Type: mesh.EntryBackendList, ID: LeaseTask, Body: body}, Origin: "other"})
		})
	}
	must.Eq(t, "", reads(3), must.Sprint("an earlier holder, or one that reads without the lease"))
	must.Eq(t, invariant.OneLeaseHolder, reads(4))
	r.lister.forgetLease()
	must.Eq(t, "", reads(5))
}
