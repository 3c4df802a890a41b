// Bootstrap: a replica consents to one proposal at a time, only the proposer may withdraw a proposal, and no message
// is sent before the state that it reports is synced.

package replica

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/diskfile"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// emptyCore returns a core that runs on a platform. Its disk contains only the identity of replica "m"; change, if
// set, alters its settings.
func emptyCore(t *testing.T, change func(e *settings.Settings)) *core {
	t.Helper()
	e := settings.Settings{Mesh: "10.0.0.5:1", Zone: "z5", DataDir: "disk", BootstrapKnown: true, Bootstrap: true, Tolerance: settings.Tolerance{Machines: 1, Zones: 1}}
	e.Seeds = []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
	if change != nil {
		change(&e)
	}
	k := kernel.New(kernel.Boot{
		Settings: e, Role: "core", Seed: 1, Key: kernel.KeyFrom(make([]byte, 32)), Files: map[string][]byte{"seat": diskfile.Pack([]byte("m"))},
	})
	c := &core{kernel: k, host: kernel.Find[*Host](k), now: 1 * clock.Second}
	c.feed(kernel.Start{})
	return c
}

func proposal(id, by string, voterIDs ...string) *wire.Bootstrap {
	return &wire.Bootstrap{BootstrapID: id, Voters: replicas(voterIDs...), Proposer: wire.Replica{ID: by, Addr: "10.0.0.1:1"}}
}

// sent decodes and returns the messages of one kind that are sent by an output.
func sent[T any, P interface {
	*T
	UnmarshalMsg([]byte) ([]byte, error)
}](t *testing.T, out kernel.Output, kind uint8) (all []T) {
	t.Helper()
	for _, s := range out.Sends {
		f, err := wire.Open(s.Data)
		must.NoError(t, err)
		if f.Kind == kind {
			var m T
			must.NoError(t, wire.Decode(f.Body, P(&m)))
			all = append(all, m)
		}
	}
	return all
}

func bootstrapReplies(t *testing.T, out kernel.Output) []wire.BootstrapReply {
	t.Helper()
	return sent[wire.BootstrapReply](t, out, wire.KindBootstrapReply)
}

func TestBootstrapConsentIsSyncedAndExclusive(t *testing.T) {
	c := emptyCore(t, nil)
	f1, f2 := proposal("f1", "a", "a", "b", "m"), proposal("f2", "n", "n", "o", "m")
	out := c.send(wire.KindBootstrap, f1)
	must.SliceEmpty(t, bootstrapReplies(t, out))
	must.SliceEmpty(t, bootstrapReplies(t, c.send(wire.KindBootstrap, f1)), must.Sprint("the consent must not be sent before it is synced, even if the proposal is repeated"))
	must.True(t, bootstrapReplies(t, c.sync(out))[0].OK)
	must.True(t, bootstrapReplies(t, c.send(wire.KindBootstrap, f1))[0].OK)
	r := bootstrapReplies(t, c.send(wire.KindBootstrap, f2))[0]
	must.False(t, r.OK)
	must.Eq(t, "a", r.Proposer.ID)
	// Once the proposer has withdrawn its proposal, the replica may consent to another one.
	f1.Withdrawn = true
	c.sync(c.send(wire.KindBootstrap, f1))
	must.True(t, bootstrapReplies(t, c.sync(c.send(wire.KindBootstrap, f2)))[0].OK)
}

func TestBootstrapConsentFailsWithItsWrite(t *testing.T) {
	c := emptyCore(t, nil)
	f1 := proposal("f1", "a", "a", "b", "m")
	out := c.send(wire.KindBootstrap, f1)
	r := bootstrapReplies(t, c.feed(kernel.Written{Plugin: "seats", Key: out.Writes[0].Key, Err: "no space left on device"}))
	must.False(t, r[0].OK)
	must.Eq(t, "", c.host.bootstrap.BootstrapID)
}

func TestBootstrapDeniedOnEmptyDiskOfFormedFleet(t *testing.T) {
	c := emptyCore(t, func(e *settings.Settings) { e.Bootstrap = false })
	out := c.send(wire.KindBootstrap, proposal("f1", "a", "a", "b", "m"))
	must.SliceEmpty(t, out.Writes)
	must.True(t, bootstrapReplies(t, out)[0].Forbidden)
	announceCores(c, 3)
	must.SliceEmpty(t, c.tick().Writes)
}

// announceCores sends pulls from n other cores with empty disks. The first three have the addresses of the seeds.
func announceCores(c *core, n int) {
	for i := range n {
		a := string(rune('1' + i))
		c.send(wire.KindPull, &wire.Pull{Addr: "10.0.0." + a + ":1", Replica: "s" + a, Zone: "z" + a})
	}
}

func TestBootstrapProposerHasLeastSeedAddress(t *testing.T) {
	c := emptyCore(t, func(e *settings.Settings) { e.Mesh, e.Zone, e.Seeds = "10.0.0.0:1", "z0", e.Seeds[:2] })
	c.tick()
	must.Eq(t, "", c.host.bootstrap.BootstrapID, must.Sprint("a core that knows no other core must not propose a bootstrap"))
	announceCores(c, 3)
	out := c.tick()
	must.Len(t, 3, c.host.bootstrap.Voters)
	must.SliceEmpty(t, sent[wire.Bootstrap](t, out, wire.KindBootstrap), must.Sprint("the proposal must not be sent before the proposer's own consent is synced"))
	out = c.sync(out)
	must.Len(t, 2, sent[wire.Bootstrap](t, out, wire.KindBootstrap))
	for _, member := range c.host.bootstrap.Voters {
		out = c.send(wire.KindBootstrapReply, &wire.BootstrapReply{BootstrapID: c.host.bootstrap.BootstrapID, From: member.ID, OK: true})
	}
	must.False(t, c.host.bootstrapped)
	must.SliceEmpty(t, sent[wire.Bootstrap](t, out, wire.KindBootstrap), must.Sprint("the completion must not be sent before it is synced"))
	completions := sent[wire.Bootstrap](t, c.sync(out), wire.KindBootstrap)
	must.True(t, c.host.bootstrapped)
	must.Len(t, 2, completions)
	must.True(t, completions[0].Commit)
}

func TestBootstrapOtherCoresWaitForProposer(t *testing.T) {
	c := emptyCore(t, nil)
	announceCores(c, 3)
	must.SliceEmpty(t, c.tick().Writes)
	c.now += 2 * SmallestGroupAfter
	announceCores(c, 3)
	must.SliceEmpty(t, c.tick().Writes)
}

func TestBootstrapSmallerGroupNeedsEverySeed(t *testing.T) {
	c := emptyCore(t, func(e *settings.Settings) {
		e.Mesh, e.Zone, e.Seeds, e.Tolerance.Machines = "10.0.0.0:1", "z0", e.Seeds[:2], 2
	})
	c.now += SmallerGroupAfter
	announceCores(c, 1)
	must.SliceEmpty(t, c.tick().Writes, must.Sprint("a smaller group must not be proposed while a seed is unreachable"))
	announceCores(c, 3)
	c.tick()
	must.Len(t, 3, c.host.bootstrap.Voters, must.Sprint("five voters are wanted but only four cores are known: the proposal must contain three, the largest odd number"))
}

func TestBootstrapGreaterProposerWithdraws(t *testing.T) {
	c := emptyCore(t, func(e *settings.Settings) { e.Mesh, e.Seeds = "10.0.0.0:1", e.Seeds[:2] })
	announceCores(c, 3)
	out := c.sync(c.tick())
	mine := c.host.bootstrap
	must.Len(t, 2, sent[wire.Bootstrap](t, out, wire.KindBootstrap))
	must.SliceEmpty(t, c.send(wire.KindBootstrap, proposal("f2", "z", "z", "s1", "s2")).Writes, must.Sprint("the core must not withdraw its proposal in favour of z, whose identity is greater than m"))
	out = c.send(wire.KindBootstrap, proposal("f3", "a", "a", "s1", "s2"))
	must.SliceEmpty(t, sent[wire.Bootstrap](t, out, wire.KindBootstrap), must.Sprint("the withdrawal must not be sent before it is synced"))
	// A delayed consent has no effect.
	for _, member := range mine.Voters {
		c.send(wire.KindBootstrapReply, &wire.BootstrapReply{BootstrapID: mine.BootstrapID, From: member.ID, OK: true})
	}
	must.False(t, c.host.completing)
	withdrawals := sent[wire.Bootstrap](t, c.sync(out), wire.KindBootstrap)
	must.Len(t, 2, withdrawals)
	must.True(t, withdrawals[0].Withdrawn && withdrawals[0].BootstrapID == mine.BootstrapID)
}

func TestBootstrapExcludesRefusers(t *testing.T) {
	c := emptyCore(t, func(e *settings.Settings) { e.Mesh, e.Zone, e.Seeds = "10.0.0.0:1", "z0", e.Seeds[:2] })
	announceCores(c, 3)
	c.sync(c.tick())
	f := c.host.bootstrap
	i := slices.IndexFunc(f.Voters, func(s wire.Replica) bool { return s.ID != "m" })
	c.sync(c.send(wire.KindBootstrapReply, &wire.BootstrapReply{BootstrapID: f.BootstrapID, From: f.Voters[i].ID, Forbidden: true}))
	c.tick()
	must.NotEq(t, f.BootstrapID, c.host.bootstrap.BootstrapID)
	must.Len(t, 3, c.host.bootstrap.Voters)
	must.False(t, contains(c.host.bootstrap.Voters, f.Voters[i].ID))
}

func TestHostWithoutDiskRelaysVersions(t *testing.T) {
	k := kernel.New(kernel.Boot{Settings: settings.Settings{Mesh: "10.0.0.5:1", BootstrapKnown: true}, Role: "core", Seed: 1, Key: kernel.KeyFrom(make([]byte, 32))})
	c := &core{kernel: k, host: kernel.Find[*Host](k), now: 1 * clock.Second}
	must.SliceEmpty(t, c.feed(kernel.Start{}).Writes)
	must.Eq(t, "", c.host.ReplicaID())
	must.Eq(t, map[uint64]string{1: "not_owner"}, replies(t, c.edit(1, wire.Edit{Op: "read"})))
	c.host.mesh.AnnounceVersion(&kernel.Context{Now: c.now, Counts: c.kernel.Counts}, version(3, 1))
	got := sent[wire.PullReply](t, c.send(wire.KindPull, &wire.Pull{}), wire.KindPullReply)
	must.Len(t, 1, got[0].Versions)
	must.Eq(t, uint64(3), got[0].Versions[0].Version.Term)
}
