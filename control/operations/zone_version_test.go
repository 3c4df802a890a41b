package operations

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/cluster/mesh"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

func drainEdit() wire.Edit { return wire.Edit{Op: wire.OpDrainZone, Name: "z1"} }

func zoneVersionReply(seq uint64) wire.EditReply {
	return wire.EditReply{Code: wire.CodeVersion, Version: wire.Version{Term: 3, Seq: seq}, Addr: "owner"}
}

func (n *node) lastFrame() sentEdit { return n.frames[len(n.frames)-1] }

func TestZoneCommandReadsVersionFirst(t *testing.T) {
	n := newNode(t)
	n.call(1, Submit{Edit: drainEdit(), Timeout: 800 * clock.Millisecond})
	read := n.lastFrame()
	must.Eq(t, "zone_version z1", read.edit.Op+" "+read.edit.Name)
	n.reply(read.id, zoneVersionReply(7))
	command := n.lastFrame()
	must.Eq(t, "empty z1", command.edit.Op+" "+command.edit.Name)
	must.Eq(t, wire.Version{Term: 3, Seq: 7}, command.edit.Base)
	n.reply(command.id, wire.EditReply{Code: wire.CodeOK})
	must.Eq(t, wire.CodeOK, n.code(1))
}

func TestStaleZoneCommandReadsVersionAgainWhileCallIsOpen(t *testing.T) {
	n := newNode(t)
	n.call(1, Submit{Edit: drainEdit(), Timeout: 800 * clock.Millisecond})
	n.reply(n.lastFrame().id, zoneVersionReply(7))
	first := n.lastFrame()
	n.reply(first.id, wire.EditReply{Code: wire.CodeStale})
	must.Eq(t, wire.OpZoneVersion, n.lastFrame().edit.Op)
	n.reply(n.lastFrame().id, zoneVersionReply(8))
	second := n.lastFrame()
	must.Eq(t, uint64(8), second.edit.Base.Seq)
	must.Eq(t, first.edit.EditID, second.edit.EditID, must.Sprint("a command that is sent again must keep its edit id"))
	n.reply(second.id, wire.EditReply{Code: wire.CodeStale})
	n.advance(800 * clock.Millisecond)
	must.Eq(t, wire.CodeOverloaded, n.code(1), must.Sprint("the call must be overloaded, because every command that was sent was declined"))
}

// A process that was frozen, or that receives a reply late, must not send anything for a call whose caller no longer waits.
func TestNoFrameIsSentForFinishedCall(t *testing.T) {
	for name, endCall := range map[string]func(n *node){
		"expired":  func(n *node) { n.now += 800 * clock.Millisecond },
		"canceled": func(n *node) { n.step(kernel.Canceled{Plugin: PluginName, ID: 1}) },
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode(t)
			n.call(1, Submit{Edit: drainEdit(), Timeout: 800 * clock.Millisecond})
			read := n.lastFrame()
			endCall(n)
			n.reply(read.id, zoneVersionReply(7))
			must.Eq(t, wire.OpZoneVersion, n.lastFrame().edit.Op)

			n = newNode(t)
			n.call(1, Submit{Edit: drainEdit(), Timeout: 800 * clock.Millisecond})
			n.reply(n.lastFrame().id, zoneVersionReply(7))
			command := n.lastFrame()
			endCall(n)
			sent := len(n.frames)
			n.reply(command.id, wire.EditReply{Code: wire.CodeStale})
			n.reply(command.id, wire.EditReply{Code: wire.CodeNotLeader, Addr: "other"})
			if name == "canceled" {
				n.advance(5 * clock.Second)
			}
			must.Eq(t, sent, len(n.frames))
		})
	}
}

// A leader of a release before 3 does not know the query for a zone's version and accepts commands without a base.
func TestZoneCommandToLeaderOfEarlierRelease(t *testing.T) {
	n := newNode(t)
	n.call(1, Submit{Edit: drainEdit(), Timeout: 800 * clock.Millisecond})
	n.reply(n.lastFrame().id, wire.EditReply{Code: wire.CodeInvalid})
	must.Eq(t, "empty z1", n.lastFrame().edit.Op+" "+n.lastFrame().edit.Name)
	must.Eq(t, wire.Version{}, n.lastFrame().edit.Base)
}

// A declined query must not count as a declined command, because another core may still apply the command.
func TestDeclinedVersionQueryDoesNotDeclineCommand(t *testing.T) {
	n := newNode(t)
	n.call(1, Submit{Edit: drainEdit(), Timeout: 800 * clock.Millisecond})
	read := n.lastFrame()
	n.reply(read.id, zoneVersionReply(7))
	n.reply(read.id, wire.EditReply{Code: wire.CodeNotLeader})
	n.advance(800 * clock.Millisecond)
	must.Eq(t, wire.CodeUnknown, n.code(1))
}

func TestUnansweredVersionQueryIsOverloaded(t *testing.T) {
	n := newNode(t)
	n.call(1, Submit{Edit: drainEdit(), Timeout: 800 * clock.Millisecond})
	n.advance(800 * clock.Millisecond)
	must.Eq(t, wire.CodeOverloaded, n.code(1))
	for _, f := range n.frames {
		must.Eq(t, wire.OpZoneVersion, f.edit.Op)
	}
}

func TestReadHistoryFromLeader(t *testing.T) {
	n := newNode(t)
	n.call(1, ReadHistory{})
	must.Eq(t, wire.OpHistory, n.lastFrame().edit.Op)
	n.reply(1, wire.EditReply{Code: wire.CodeOK, Body: wire.Encode(&wire.EditLog{History: []wire.PastConfig{{By: "someone"}}})})
	must.Eq(t, "someone", n.answers[1].(History).Configurations[0].By)
	n.call(2, ReadHistory{})
	n.advance(CallTimeout)
	must.Eq(t, wire.CodeOverloaded, n.answers[2].(History).Code)
}

// A drain command is refused if a complete list shows that the zone is unknown, and sent if the zone may exist.
func TestDrainRefusesUnknownZone(t *testing.T) {
	for _, c := range []struct {
		name   string
		list   wire.BackendList
		op     string
		zone   string
		refuse bool
	}{
		{"no list", wire.BackendList{}, "empty", "z9", false},
		{"an incomplete list", wire.BackendList{Backends: []wire.Backend{{Zone: "z2"}}}, "empty", "z9", false},
		{"zone not in a complete list", wire.BackendList{Complete: true, Backends: []wire.Backend{{Zone: "z2"}}}, "empty", "z9", true},
		{"zone of a backend", wire.BackendList{Complete: true, Backends: []wire.Backend{{Zone: "z2"}}}, "empty", "z2", false},
		{"zone of a member", wire.BackendList{Complete: true, Backends: []wire.Backend{{Zone: "z2"}}}, "empty", "z1", false},
		{"restore of an unknown zone", wire.BackendList{Complete: true, Backends: []wire.Backend{{Zone: "z2"}}}, "refill", "z9", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNode(t)
			if len(c.list.Backends) > 0 {
				n.announce("listing", wire.Encode(&c.list))
			}
			n.call(1, Submit{Edit: wire.Edit{Op: c.op, Name: c.zone}})
			if c.refuse {
				must.Eq(t, CodeUnknownZone, n.code(1))
				must.Eq(t, "zone", n.answers[1].(Result).Reply.Findings[0].Path)
				must.SliceEmpty(t, n.frames)
				return
			}
			must.Eq(t, "", n.code(1))
			must.Len(t, 1, n.frames)
		})
	}
}

// A zone that has lost all its members and backends can still be drained if the settings name it.
func TestDrainAcceptsEmptyZoneOfSettings(t *testing.T) {
	n := newNode(t)
	n.announce("listing", wire.Encode(&wire.BackendList{Complete: true, Backends: []wire.Backend{{Zone: "z2"}}}))
	kernel.Find[*Service](n.k).zoneRegions = map[string]string{"z1": "r1", "z9": "r1"}
	n.call(1, Submit{Edit: wire.Edit{Op: wire.OpDrainZone, Name: "z9"}})
	must.Eq(t, "", n.code(1))
	must.Len(t, 1, n.frames)
}

// announce stores an entry in the node's mesh as its own announcement.
func (n *node) announce(typ string, body []byte) {
	n.k.Later(func(ctx *kernel.Context) { kernel.Find[*mesh.Mesh](n.k).Announce(ctx, typ, typ, body, false) })
	n.step(kernel.Tick{Plugin: PluginName, Key: "none"})
}
