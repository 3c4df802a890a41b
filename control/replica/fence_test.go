// Fencing: a replica that voted in a term accepts no version of an older term, and acknowledges a version only after
// it is synced.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/diskfile"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

type core struct {
	kernel *kernel.Kernel
	host   *Host
	now    clock.Micros
}

// newCore returns a core with replica "me" whose bootstrap is complete; the other voters are "a" and "b".
func newCore(t *testing.T, more map[string][]byte) *core {
	t.Helper()
	bootstrap := wire.Bootstrap{BootstrapID: "f", Commit: true, Voters: replicas("a", "b", "me")}
	files := map[string][]byte{"seat": diskfile.Pack([]byte("me")), "formation": diskfile.Pack(wire.Encode(&bootstrap))}
	for k, v := range more {
		files[k] = v
	}
	k := kernel.New(kernel.Boot{Settings: settings.Settings{Mesh: "10.0.0.1:1"}, Role: "core", Seed: 1, Key: kernel.KeyFrom(make([]byte, 32)), Files: files})
	c := &core{kernel: k, host: kernel.Find[*Host](k), now: 1 * clock.Second}
	c.feed(kernel.Start{})
	return c
}

func (c *core) feed(in kernel.Input) kernel.Output { return c.kernel.Step(c.now, c.now, in) }

func (c *core) send(kind uint8, m interface{ MarshalMsg([]byte) ([]byte, error) }) kernel.Output {
	return c.feed(kernel.Received{Conn: 5, Data: wire.Seal(kind, 0, m)})
}

// sync completes the writes of an output and returns what the core sends as a result.
func (c *core) sync(out kernel.Output) kernel.Output {
	var all kernel.Output
	for _, w := range out.Writes {
		r := c.feed(kernel.Written{Plugin: w.Plugin, Key: w.Key})
		all.Sends = append(all.Sends, r.Sends...)
	}
	return all
}

func acceptReply(t *testing.T, out kernel.Output) wire.AcceptReply {
	t.Helper()
	var r wire.AcceptReply
	must.Len(t, 1, out.Sends)
	f, err := wire.Open(out.Sends[0].Data)
	must.NoError(t, err)
	must.Eq(t, wire.KindAcceptReply, f.Kind)
	must.NoError(t, wire.Decode(f.Body, &r))
	return r
}

func version(term, seq uint64) wire.Versioned {
	return wire.Versioned{Version: wire.Version{Partition: 0, Term: term, Seq: seq}, Voters: replicas("a", "b", "me"), Body: []byte{0x80}}
}

func TestVoteFencesOlderTerms(t *testing.T) {
	c := newCore(t, nil)
	out := c.send(wire.KindVote, &wire.Vote{Term: 5, From: "a"})
	must.SliceEmpty(t, out.Sends, must.Sprint("the vote must be synced before it is sent"))
	must.Len(t, 1, c.sync(out).Sends)
	out = c.send(wire.KindAccept, &wire.Accept{Term: 4, From: "b", Versioned: version(4, 9)})
	must.SliceEmpty(t, out.Writes)
	r := acceptReply(t, out)
	must.False(t, r.OK)
	must.Eq(t, uint64(5), r.Term)
	out = c.send(wire.KindAccept, &wire.Accept{Term: 5, From: "a", Versioned: version(5, 1)})
	must.SliceEmpty(t, out.Sends, must.Sprint("the version must be synced before it is acknowledged"))
	must.True(t, acceptReply(t, c.sync(out)).OK)
}

func TestVoteSurvivesRestart(t *testing.T) {
	promise := diskfile.Pack(wire.Encode(&wire.Vote{Term: 7, From: "a"}))
	c := newCore(t, map[string][]byte{voteFile(0): promise})
	must.False(t, acceptReply(t, c.send(wire.KindAccept, &wire.Accept{Term: 6, From: "b", Versioned: version(6, 1)})).OK)
	out := c.send(wire.KindVote, &wire.Vote{Term: 7, From: "b"})
	must.SliceEmpty(t, out.Writes, must.Sprint("a term must be granted to one candidate only"))
}

func TestTornVersionFileIsSkipped(t *testing.T) {
	v1, v2 := version(3, 1), version(3, 2)
	whole := diskfile.Pack(wire.Encode(&v2))
	c := newCore(t, map[string][]byte{
		versionFile(v1.Version): diskfile.Pack(wire.Encode(&v1)), versionFile(v2.Version): whole[:len(whole)-3],
	})
	must.Eq(t, v1.Version, c.host.groups[0].accepted.Version)
	must.False(t, c.host.diskDamaged)
	must.Eq(t, uint64(3), c.host.groups[0].votedTerm)
}

func TestDamagedDiskRepliesToNothing(t *testing.T) {
	for name, files := range map[string]map[string][]byte{
		"torn promise": {voteFile(1): []byte("wallport")},
		"torn seat":    {"seat": []byte("x")},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCore(t, files)
			must.True(t, c.host.diskDamaged)
			must.Eq(t, "damaged", c.host.diskProblem)
			must.SliceEmpty(t, c.send(wire.KindVote, &wire.Vote{Term: 9, From: "a"}).Writes)
			must.SliceEmpty(t, c.send(wire.KindAccept, &wire.Accept{Term: 9, From: "a", Versioned: version(9, 1)}).Writes)
		})
	}
}

func TestFailedWriteIsNotAcknowledged(t *testing.T) {
	c := newCore(t, nil)
	out := c.send(wire.KindAccept, &wire.Accept{Term: 5, From: "a", Versioned: version(5, 1)})
	must.Len(t, 1, out.Writes)
	r := acceptReply(t, c.feed(kernel.Written{Plugin: "seats", Key: out.Writes[0].Key, Err: "no space left on device"}))
	must.False(t, r.OK)
	must.Eq(t, wire.Version{}, c.host.groups[0].accepted.Version)
	must.Eq(t, "no space left on device", c.host.diskProblem)
}

// A machine whose disk was lost runs a different replica at the same address, which must ignore messages for the old
// replica.
func TestMessageForAnotherReplicaIsIgnored(t *testing.T) {
	c := newCore(t, nil)
	out := c.send(wire.KindAccept, &wire.Accept{To: "lost", Term: 5, From: "a", Versioned: version(5, 1)})
	must.SliceEmpty(t, out.Writes)
	must.SliceEmpty(t, c.send(wire.KindLeaderHeartbeat, &wire.LeaderHeartbeat{To: "lost", Term: 5, From: "a"}).Sends)
	must.SliceEmpty(t, c.send(wire.KindVote, &wire.Vote{To: "lost", Term: 5, From: "a"}).Writes)
	must.Eq(t, 3, c.kernel.Counts.Of("part_misdirected").Load())
	must.Len(t, 1, c.send(wire.KindAccept, &wire.Accept{To: "me", Term: 5, From: "a", Versioned: version(5, 1)}).Writes)
}
