// Orders about zones: bound to what was in force when they came, sent only while
// whoever gave them waits.
package operate

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/kernel"
	"wallport/wire"
)

func drain() wire.Edit { return wire.Edit{Op: "empty", Name: "z1"} }

func version(seq uint64) wire.EditReply {
	return wire.EditReply{Code: wire.CodeVersion, Stamp: wire.Stamp{Term: 3, Seq: seq}, Addr: "owner"}
}

func (n *node) last() sentEdit { return n.frames[len(n.frames)-1] }

func TestOrderAboutAZoneIsBoundFirst(t *testing.T) {
	n := newNode(t)
	n.call(1, Carry{Edit: drain(), GiveUpUs: 800_000})
	read := n.last()
	must.Eq(t, "zone_version z1", read.edit.Op+" "+read.edit.Name)
	n.reply(read.id, version(7))
	order := n.last()
	must.Eq(t, "empty z1", order.edit.Op+" "+order.edit.Name)
	must.Eq(t, wire.Stamp{Term: 3, Seq: 7}, order.edit.Base)
	n.reply(order.id, wire.EditReply{Code: "ok"})
	must.Eq(t, "ok", n.code(1))
}

func TestStaleOrderIsBoundAnewWhileTheCallIsOpen(t *testing.T) {
	n := newNode(t)
	n.call(1, Carry{Edit: drain(), GiveUpUs: 800_000})
	n.reply(n.last().id, version(7))
	first := n.last()
	n.reply(first.id, wire.EditReply{Code: wire.CodeStale})
	must.Eq(t, wire.OpZoneVersion, n.last().edit.Op)
	n.reply(n.last().id, version(8))
	second := n.last()
	must.Eq(t, uint64(8), second.edit.Base.Seq)
	must.Eq(t, first.edit.EditID, second.edit.EditID, must.Sprint("it is the same order"))
	n.reply(second.id, wire.EditReply{Code: wire.CodeStale})
	n.pass(800_000)
	must.Eq(t, "shed", n.code(1), must.Sprint("each sending was declined"))
}

// A process that was frozen, or that heard late, sends nothing for a call that nobody waits for.
func TestNothingIsSentForACallThatIsOver(t *testing.T) {
	for name, over := range map[string]func(n *node){
		"old":       func(n *node) { n.now += 800_000 },
		"abandoned": func(n *node) { n.step(kernel.Abandoned{Plugin: "operate", ID: 1}) },
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode(t)
			n.call(1, Carry{Edit: drain(), GiveUpUs: 800_000})
			read := n.last()
			over(n)
			n.reply(read.id, version(7))
			must.Eq(t, wire.OpZoneVersion, n.last().edit.Op)

			n = newNode(t)
			n.call(1, Carry{Edit: drain(), GiveUpUs: 800_000})
			n.reply(n.last().id, version(7))
			order := n.last()
			over(n)
			sent := len(n.frames)
			n.reply(order.id, wire.EditReply{Code: wire.CodeStale})
			n.reply(order.id, wire.EditReply{Code: "not_owner", Addr: "other"})
			if name == "abandoned" {
				n.pass(5_000_000)
			}
			must.Eq(t, sent, len(n.frames))
		})
	}
}

// A reply to the question says nothing of the order, which another core may take meanwhile.
func TestDeclinedQuestionIsNotADeclinedOrder(t *testing.T) {
	n := newNode(t)
	n.call(1, Carry{Edit: drain(), GiveUpUs: 800_000})
	read := n.last()
	n.reply(read.id, version(7))
	n.reply(read.id, wire.EditReply{Code: "not_owner"})
	n.pass(800_000)
	must.Eq(t, "unknown", n.code(1))
}

func TestUnansweredQuestionTookNothing(t *testing.T) {
	n := newNode(t)
	n.call(1, Carry{Edit: drain(), GiveUpUs: 800_000})
	n.pass(800_000)
	must.Eq(t, "shed", n.code(1))
	for _, f := range n.frames {
		must.Eq(t, wire.OpZoneVersion, f.edit.Op)
	}
}

func TestHistoryIsReadThroughTheLeader(t *testing.T) {
	n := newNode(t)
	n.call(1, ReadHistory{})
	must.Eq(t, wire.OpHistory, n.last().edit.Op)
	n.reply(1, wire.EditReply{Code: "ok", Body: wire.Encode(&wire.Ledger{History: []wire.Past{{By: "someone"}}})})
	must.Eq(t, "someone", n.answers[1].(History).Sheets[0].By)
	n.call(2, ReadHistory{})
	n.pass(GiveUp)
	must.Eq(t, "shed", n.answers[2].(History).Code)
}
