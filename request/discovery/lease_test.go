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

// awaitLeaseRequest advances the clock until the node has sent another lease request, and returns the
// request's id.
func (r *rig) awaitLeaseRequest() uint64 {
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
	id := r.awaitLeaseRequest()
	requestedAt := r.now
	r.run(700_000)
	r.grant(id)
	must.Between(t, requestedAt+790_000, r.lister.leaseUntil, requestedAt+800_000)
	r.grant(id + 100)
	must.Less(t, requestedAt+800_001, r.lister.leaseUntil, must.Sprint("a reply to an unknown request is ignored"))
}

// TestReleasedLeaseIsNotResumed checks that a node ignores a granted lease whose reply was in transit when the
// node gave up its lease: because it released the lease or, as here, because its process was frozen.
func TestReleasedLeaseIsNotResumed(t *testing.T) {
	r := newRig(t, settings.Settings{PollsPer10s: 20})
	r.learnLeader()
	id := r.awaitLeaseRequest()
	r.feed(kernel.Thawed{Gap: 2 * second})
	r.grant(id)
	must.Zero(t, r.lister.leaseUntil)
}

// TestSecondLeaseHolderIsReported checks that a violation is reported if another node reads under a newer
// lease while this node holds the lease.
func TestSecondLeaseHolderIsReported(t *testing.T) {
	r := newRig(t, settings.Settings{PollsPer10s: 20})
	r.learnLeader()
	r.grant(r.awaitLeaseRequest())
	violationOfRead := func(leaseID uint64) invariant.Name {
		body := wire.Encode(&wire.BackendList{LeaseID: leaseID})
		return violation.By(func() {
			r.lister.handleStored(&kernel.Context{Now: r.now, Counts: r.k.Counts}, mesh.Stored{Entry: &wire.Entry{Type: mesh.EntryBackendList, ID: LeaseTask, Body: body}, Origin: "other"})
		})
	}
	must.Eq(t, "", violationOfRead(3), must.Sprint("the reading of an earlier holder or of a node without the lease is no violation"))
	must.Eq(t, invariant.OneLeaseHolder, violationOfRead(4))
	r.lister.forgetLease()
	must.Eq(t, "", violationOfRead(5))
}
