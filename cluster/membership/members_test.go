package membership

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/cluster/mesh"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// process is a process of whose plug-ins the tests use only the mesh and the members.
type process struct {
	k   *kernel.Kernel
	m   *Members
	now clock.Micros
}

func newProcess(others int) *process {
	k := kernel.New(kernel.Boot{Settings: settings.Settings{Name: "a", Mesh: "10.0.0.1:1"}, Role: "node", Seed: 1, Key: kernel.KeyFrom(make([]byte, 32))})
	p := &process{k: k, m: kernel.Find[*Members](k), now: 5_000_000}
	p.step(kernel.Start{})
	for i := range others {
		p.m.byOrigin[fmt.Sprint(i)] = &wire.Member{Name: fmt.Sprint("node-", i), Role: "node"}
	}
	p.m.sortedOrigins = nil
	return p
}

func (p *process) step(in kernel.Input) kernel.Output { return p.k.Step(p.now, p.now, in) }

// update changes the local member and runs a step, after which the scheduled announcement runs.
func (p *process) update(f func(*wire.Member)) {
	p.m.Update(f)
	p.step(kernel.Tick{Plugin: "nobody"})
}

// announcedWithin advances the time and fires the announcement timer. It returns the time between the
// last announcement and the next one, or -1 if there is none within limit.
func (p *process) announcedWithin(limit int64) int64 {
	announcedBefore, began := p.m.announcedAt, p.now
	for p.now < began+limit {
		p.now += 10_000
		if p.m.announceDue > 0 && p.m.announceDue <= p.now {
			p.step(kernel.Tick{Plugin: pluginName, Key: timerAnnounce})
		}
		if p.m.announcedAt != announcedBefore {
			return p.m.announcedAt - announcedBefore
		}
	}
	return -1
}

func version(seq uint64) func(*wire.Member) {
	return func(m *wire.Member) { m.InForce = []wire.Version{{Seq: seq}} }
}

func TestVersionsInForceAreAnnouncedTogether(t *testing.T) {
	for others, want := range map[int]int64{3: announceInterval, smallFleet - 1: announceInterval, 40: 41 * announceIntervalPerMember, 95: 96 * announceIntervalPerMember, 400: maxAnnounceInterval} {
		p := newProcess(others)
		p.now += startupDelay
		p.update(version(1))
		p.update(version(2))
		must.Between(t, want, p.announcedWithin(20_000_000), want+20_000, must.Sprint(others, " others"))
		must.Eq(t, -1, p.announcedWithin(20_000_000), must.Sprint("must be announced only once"))
		p.update(version(3))
		must.Eq(t, p.now, p.m.announcedAt, must.Sprint("must be announced immediately after a pause"))
	}
}

func TestVersionsDuringStartupAreAnnouncedOnce(t *testing.T) {
	p := newProcess(0)
	for seq := range uint64(5) {
		p.now += 50_000
		p.update(version(seq))
	}
	must.Between(t, startupDelay, p.announcedWithin(2_000_000), startupDelay+20_000)
	must.Eq(t, -1, p.announcedWithin(2_000_000))
}

func TestOtherChangesAreAnnouncedWithinAnnounceInterval(t *testing.T) {
	p := newProcess(95)
	p.update(version(1))
	p.update(func(m *wire.Member) { m.UnhealthyReason = "disk" })
	must.Between(t, announceInterval, p.announcedWithin(2_000_000), announceInterval+20_000)
	p.update(version(2))
	p.step(kernel.Stopping{})
	must.Eq(t, p.now, p.m.announcedAt)
}

func TestMembersAreSortedByName(t *testing.T) {
	p := newProcess(0)
	for i, name := range []string{"c", "b", "d"} {
		member := wire.Member{Name: name, Role: "core"}
		entry := &wire.Entry{Type: "member", Body: wire.Encode(&member)}
		p.m.Step(&kernel.Context{Now: p.now, Counts: p.k.Counts}, mesh.Stored{Entry: entry, Origin: fmt.Sprint(i)})
	}
	var names string
	for _, r := range p.m.All(p.now) {
		names += r.Name
	}
	must.Eq(t, "abcd", names)
	p.m.Step(&kernel.Context{Now: p.now, Counts: p.k.Counts}, mesh.Forgotten{Origin: "1"})
	must.Len(t, 3, p.m.All(p.now))
	must.Eq(t, 1, p.m.Count(p.now, "node"))
	must.Eq(t, len(p.m.Live(p.now, "node")), p.m.Count(p.now, "node"))
}
