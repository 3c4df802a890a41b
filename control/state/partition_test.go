// The partition of the configuration as tests drive it: each order judged as a leader does.

package state

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/runtime/wire"
)

type part0 struct {
	t     *testing.T
	value Value
	seq   uint64
}

// send judges one edit as the leader does.
func (p *part0) send(e *routingpb.RoutingEdit) wire.EditReply {
	p.t.Helper()
	b, err := proto.Marshal(e)
	must.NoError(p.t, err)
	return p.judge(&wire.Edit{Op: "routing", Body: b})
}

func (p *part0) judge(e *wire.Edit) wire.EditReply {
	next := wire.Version{Term: 1, Seq: p.seq + 1}
	after, r, took := JudgeOf(Config)(p.value, next, e)
	if took {
		p.value, p.seq = after, p.seq+1
		r.Version = next
	}
	return r
}

func (p *part0) ledger() wire.EditLog {
	ledger, err := ReadLedger(p.value.Ledger)
	must.NoError(p.t, err)
	return ledger
}

// zone gives an order about a zone as a machine does: bound to the version that it has just read.
func (p *part0) zone(op, zone, id string) wire.EditReply {
	p.t.Helper()
	return p.judge(&wire.Edit{Op: op, Name: zone, EditID: id, Base: p.zoneVersion(zone)})
}

func (p *part0) zoneVersion(zone string) wire.Version {
	r := Answer(wire.Versioned{Body: p.value.Body, EditLog: p.value.Ledger}, &wire.Edit{Op: wire.OpZoneVersion, Name: zone})
	must.Eq(p.t, wire.CodeVersion, r.Code)
	return r.Version
}

func (p *part0) drained() []string {
	c, err := ReadConfig(p.value.Body)
	must.NoError(p.t, err)
	return c.DrainedZones
}

func (p *part0) table() *routingpb.RoutingTable {
	c, err := ReadConfig(p.value.Body)
	must.NoError(p.t, err)
	t, err := RoutingOf(c)
	must.NoError(p.t, err)
	return t
}
