package operations

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/control/replica"
	"wallport/runtime/clock"
	"wallport/runtime/diskfile"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// partitionedLeader returns a core that was elected leader with the vote of "a" and committed its first version with "a"
// and "b", but receives nothing afterwards.
func partitionedLeader(t *testing.T) *node {
	t.Helper()
	bootstrap := wire.Bootstrap{BootstrapID: "f", Commit: true, Voters: []wire.Replica{{ID: "a", Addr: "a"}, {ID: "b", Addr: "b"}, {ID: "me", Addr: "10.0.0.1:1"}}}
	files := map[string][]byte{"seat": diskfile.Pack([]byte("me")), "formation": diskfile.Pack(wire.Encode(&bootstrap))}
	k := kernel.New(kernel.Boot{Settings: settings.Settings{Mesh: "10.0.0.1:1", DataDir: "disk"}, Role: "core", Seed: 1, Key: kernel.KeyFrom(make([]byte, 32)), Files: files})
	n := &node{t: t, k: k, now: 1 * clock.Second, answers: map[uint64]any{}}
	n.step(kernel.Start{})
	n.coreTick()
	n.now += 10 * clock.Second
	n.coreTick()
	n.receive(wire.KindVoteReply, 0, &wire.VoteReply{Term: 1, From: "a", Pre: true, Granted: true})
	n.synced("w1")
	n.receive(wire.KindVoteReply, 0, &wire.VoteReply{Term: 1, From: "a", Granted: true})
	n.receive(wire.KindAcceptReply, 0, &wire.AcceptReply{Term: 1, From: "a", Version: wire.Version{Term: 1, Seq: 1}, OK: true})
	n.receive(wire.KindAcceptReply, 0, &wire.AcceptReply{Term: 1, From: "b", Version: wire.Version{Term: 1, Seq: 1}, OK: true})
	return n
}

func (n *node) coreTick()         { n.step(kernel.Tick{Plugin: "seats", Key: "tick"}) }
func (n *node) synced(key string) { n.step(kernel.Written{Plugin: "seats", Key: key}) }

// A leader that is cut off from the majority must answer calls within their time-out with neither success nor a refusal,
// and without a configuration, so that the operator can try another core within a second.
func TestPartitionedLeaderAnswersWithinTimeout(t *testing.T) {
	const timeout = 800 * clock.Millisecond
	for _, isolatedFor := range []clock.Micros{0, 500 * clock.Millisecond, 3 * clock.Second} {
		n := partitionedLeader(t)
		must.True(t, kernel.Find[*replica.Host](n.k).Leads(0))
		for end := n.now + isolatedFor; n.now < end; n.coreTick() {
			n.advance(replica.TickInterval)
		}
		n.call(1, Submit{Edit: wire.Edit{Op: "nonsense"}, AwaitInForce: true, Timeout: timeout})
		n.call(2, Submit{Edit: wire.Edit{Op: wire.OpRestoreZone, Name: "z1"}, AwaitInForce: true, Timeout: timeout})
		n.call(3, ReadRouting{Timeout: timeout})
		for end := n.now + timeout; n.now < end; n.coreTick() {
			n.advance(replica.TickInterval)
		}
		must.MapLen(t, 3, n.answers, must.Sprint("cut off for ", isolatedFor))
		must.SliceContains(t, []wire.Code{wire.CodeOverloaded, wire.CodeUnknown}, n.code(1))
		must.SliceContains(t, []wire.Code{wire.CodeOverloaded, wire.CodeUnknown}, n.code(2))
		must.Eq(t, Routing{Code: wire.CodeOverloaded}, n.answers[3].(Routing))
	}
}
