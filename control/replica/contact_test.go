// Confirmed versions contain everything that was acknowledged up to shortly before, whichever member is partitioned
// or suspended. A member without contact confirms no version, rejects no edit and answers no read.

package replica

import (
	"flag"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/cluster/mesh"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

const (
	pullEvery = 110 * clock.Millisecond
	editEvery = 230 * clock.Millisecond
)

// seedsPerFault is the number of seeds for each kind of fault.
var seedsPerFault = flag.Uint64("worlds", 2, "worlds for each kind of trouble")

// acknowledgement is a version that was acknowledged to an operator, and the time of the acknowledgement.
type acknowledgement struct {
	at      clock.Micros
	version wire.Version
}

// observer acts as the operators and nodes: it edits, reads and pulls, and checks the replies.
type observer struct {
	c     *cluster
	acks  []acknowledgement
	edits int
	// confirmed counts the pull replies that showed contact, by member; reads counts the answered reads, by member.
	confirmed     map[string]int
	lastConfirmed map[string]clock.Micros
	reads         map[string]int
}

func newObserver(c *cluster) *observer {
	return &observer{c: c, confirmed: map[string]int{}, lastConfirmed: map[string]clock.Micros{}, reads: map[string]int{}}
}

// newestBy returns the newest version that was acknowledged at or before a time.
func (o *observer) newestBy(at clock.Micros) (newest wire.Version) {
	for _, a := range o.acks {
		if a.at <= at && mesh.Newer(a.version, newest) {
			newest = a.version
		}
	}
	return newest
}

// edit sends a member an edit of a zone that is used by no other edit.
func (o *observer) edit(to *member) {
	o.edits++
	id := fmt.Sprint("edit-", o.edits)
	wasIsolated := to == o.c.isolated
	o.c.request(to, wire.KindEdit, 1, &wire.Edit{Op: "refill", Name: "zone-" + id, EditID: id}, func(f wire.Frame) {
		var r wire.EditReply
		must.NoError(o.c.t, wire.Decode(f.Body, &r))
		if wasIsolated && to == o.c.isolated {
			must.SliceContains(o.c.t, []wire.Code{wire.CodeNotLeader, wire.CodeUnknown, wire.CodeOverloaded}, r.Code, must.Sprint("the isolated member must not reply with another code"))
		}
		if r.Code == "ok" {
			o.acks = append(o.acks, acknowledgement{o.c.now, r.Version})
		}
	})
}

// read sends a member a read and checks that the reply contains everything that was acknowledged before the read was
// sent.
func (o *observer) read(to *member) {
	sentAt := o.c.now
	o.c.request(to, wire.KindEdit, 1, &wire.Edit{Op: "read"}, func(f wire.Frame) {
		var r wire.EditReply
		must.NoError(o.c.t, wire.Decode(f.Body, &r))
		if r.Code != "ok" {
			return
		}
		o.reads[to.name]++
		must.False(o.c.t, mesh.Newer(o.newestBy(sentAt), r.Version), must.Sprintf(
			"%s answered a read sent at %d ms with version %v, which is older than version %v, acknowledged before the read", to.name, sentAt/1000, r.Version, o.newestBy(sentAt)))
	})
}

// pull pulls from a member like a node that has no version yet, and checks the confirmed version in the reply.
func (o *observer) pull(to *member) {
	sentAt := o.c.now
	o.c.request(to, wire.KindPull, 1, &wire.Pull{}, func(f wire.Frame) {
		var r wire.PullReply
		must.NoError(o.c.t, wire.Decode(f.Body, &r))
		var got wire.Version
		for _, v := range r.Versions {
			if v.Version.Partition == 0 {
				got = v.Version
			}
		}
		by := sentAt - ContactFor
		if r.ContactMask&1 == 0 {
			by -= RelayedContactFor
		}
		if (r.ContactMask|r.RelayedMask)&1 == 0 {
			return
		}
		o.confirmed[to.name]++
		o.lastConfirmed[to.name] = o.c.now
		must.False(o.c.t, mesh.Newer(o.newestBy(by), got), must.Sprintf(
			"%s replied to a pull sent at %d ms with confirmed version %v, which is older than version %v, acknowledged by %d ms", to.name, sentAt/1000, got, o.newestBy(by), by/1000))
	})
}

// startLoad starts to pull from, read from and edit at every member, at fixed intervals.
func (o *observer) startLoad() {
	o.c.repeat(pullEvery, func() {
		for _, m := range o.c.members {
			o.pull(m)
			o.read(m)
		}
	})
	o.c.repeat(editEvery, func() {
		for _, m := range o.c.members {
			o.edit(m)
		}
	})
}

// fault begins and ends a disturbance during which a member has no contact with a majority.
type fault struct {
	name       string
	begin, end func(c *cluster, m *member)
}

func faults() []fault {
	isolateMember := func(c *cluster, m *member) { c.isolate(m) }
	heal := func(c *cluster, _ *member) { c.heal() }
	return []fault{
		{"cut", isolateMember, heal},
		{"frozen", func(c *cluster, m *member) { c.freeze(m) }, func(c *cluster, m *member) { c.thaw(m, 20*clock.Second) }},
		{"cut and started again", func(c *cluster, m *member) { c.isolate(m); c.restart(m) }, heal},
		{"cut, then started again with the join", isolateMember, func(c *cluster, m *member) { c.restart(m); c.heal() }},
	}
}

// seedCount returns the number of seeds for each kind of fault. The number is one in a short run; CI makes such a run
// with the race detector, in addition to the complete run.
func seedCount() uint64 {
	if testing.Short() {
		return 1
	}
	return *seedsPerFault
}

// TestConfirmedVersionsContainAcknowledgedEdits partitions or suspends a leader or a follower for twenty seconds,
// while edits, reads and pulls are sent to every member, in groups of 3 and 5 voters, with and without a standby that
// can replace it.
func TestConfirmedVersionsContainAcknowledgedEdits(t *testing.T) {
	for _, v := range faults() {
		for _, size := range []int{3, 4, 5} {
			for _, target := range []string{"leader", "follower"} {
				for seed := range seedCount() {
					t.Run(fmt.Sprint(v.name, " ", target, " of ", size, " seed ", seed), func(t *testing.T) {
						c := newCluster(t, seed, size)
						m := c.committedLeader(0)
						if target == "follower" {
							m = c.others(m)[0]
						}
						runWithFault(c, v, m)
					})
				}
			}
		}
	}
}

func runWithFault(c *cluster, v fault, m *member) {
	o := newObserver(c)
	o.startLoad()
	c.run(2*clock.Second+c.rnd.Int64N(clock.Second), nil)
	for _, each := range c.members {
		must.Positive(c.t, o.confirmed[each.name], must.Sprint("the member must have contact before the fault: ", each.name))
	}
	v.begin(c, m)
	began, acks := c.now, len(o.acks)
	c.run(20*clock.Second, nil)
	must.Greater(c.t, acks+10, len(o.acks), must.Sprint("more than ten edits must be acknowledged by the majority during the fault"))
	must.Less(c.t, began+ContactFor+RelayedContactFor+clock.Second/2, max(o.lastConfirmed[m.name], 1), must.Sprint("the faulty member must not report contact after its contact has expired"))
	v.end(c, m)
	for range 100 {
		// The delayed frames arrive during this time, the newest last.
		o.pull(m)
		o.read(m)
		c.run(300, nil)
	}
	c.run(4*clock.Second, nil)
	must.Greater(c.t, c.now-clock.Second, o.lastConfirmed[m.name], must.Sprint("the member must have contact again after the end of the fault"))
}
