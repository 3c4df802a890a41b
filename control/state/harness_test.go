// The partition of the configuration as tests drive it: each order judged as a leader does.

package state

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/runtime/wire"
)

type configPartition struct {
	t     *testing.T
	value Value
	seq   uint64
}

// applyRouting judges one edit as the leader does.
func (p *configPartition) applyRouting(e *routingpb.RoutingEdit) wire.EditReply {
	p.t.Helper()
	b, err := proto.Marshal(e)
	must.NoError(p.t, err)
	return p.apply(&wire.Edit{Op: "routing", Body: b})
}

func (p *configPartition) apply(e *wire.Edit) wire.EditReply {
	next := wire.Version{Term: 1, Seq: p.seq + 1}
	after, r, took := ApplyFuncOf(ConfigPartition)(p.value, next, e)
	if took {
		p.value, p.seq = after, p.seq+1
		r.Version = next
	}
	return r
}

func (p *configPartition) editLog() wire.EditLog {
	ledger, err := ReadEditLog(p.value.EditLog)
	must.NoError(p.t, err)
	return ledger
}

// applyZone gives an order about a zone as a machine does: bound to the version that it has just read.
func (p *configPartition) applyZone(op, zone, id string) wire.EditReply {
	p.t.Helper()
	return p.apply(&wire.Edit{Op: op, Name: zone, EditID: id, Base: p.zoneVersion(zone)})
}

func (p *configPartition) zoneVersion(zone string) wire.Version {
	r := AnswerRead(wire.Versioned{Body: p.value.Body, EditLog: p.value.EditLog}, &wire.Edit{Op: wire.OpZoneVersion, Name: zone})
	must.Eq(p.t, wire.CodeVersion, r.Code)
	return r.Version
}

func (p *configPartition) drained() []string {
	c, err := ReadConfig(p.value.Body)
	must.NoError(p.t, err)
	return c.DrainedZones
}

func (p *configPartition) table() *routingpb.RoutingTable {
	c, err := ReadConfig(p.value.Body)
	must.NoError(p.t, err)
	t, err := RoutingOf(c)
	must.NoError(p.t, err)
	return t
}
