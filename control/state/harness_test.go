package state

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/runtime/wire"
)

// configPartition is the configuration partition under test. It applies edits one at a time, like a leader.
type configPartition struct {
	t     *testing.T
	value Value
	seq   uint64
}

func (p *configPartition) applyRouting(e *routingpb.RoutingEdit) wire.EditReply {
	p.t.Helper()
	body, err := proto.Marshal(e)
	must.NoError(p.t, err)
	return p.apply(&wire.Edit{Op: wire.OpPutRouting, Body: body})
}

func (p *configPartition) apply(edit *wire.Edit) wire.EditReply {
	next := wire.Version{Term: 1, Seq: p.seq + 1}
	after, reply, applied := ApplyFuncOf(ConfigPartition)(p.value, next, edit)
	if applied {
		p.value, p.seq = after, p.seq+1
		reply.Version = next
	}
	return reply
}

func (p *configPartition) editLog() wire.EditLog {
	p.t.Helper()
	editLog, err := ReadEditLog(p.value.EditLog)
	must.NoError(p.t, err)
	return editLog
}

// applyZone applies an edit of a zone. Like the process that an operator calls, it sets the base to the zone's current
// version.
func (p *configPartition) applyZone(op, zone, id string) wire.EditReply {
	p.t.Helper()
	return p.apply(&wire.Edit{Op: op, Name: zone, EditID: id, Base: p.zoneVersion(zone)})
}

func (p *configPartition) zoneVersion(zone string) wire.Version {
	p.t.Helper()
	r := AnswerRead(wire.Versioned{Body: p.value.Body, EditLog: p.value.EditLog}, &wire.Edit{Op: wire.OpZoneVersion, Name: zone})
	must.Eq(p.t, wire.CodeVersion, r.Code)
	return r.Version
}

func (p *configPartition) body() wire.ConfigBody {
	p.t.Helper()
	body, err := ReadConfig(p.value.Body)
	must.NoError(p.t, err)
	return body
}

func (p *configPartition) drainedZones() []string {
	p.t.Helper()
	return p.body().DrainedZones
}

func (p *configPartition) routingTable() *routingpb.RoutingTable {
	p.t.Helper()
	table, err := RoutingOf(p.body())
	must.NoError(p.t, err)
	return table
}
