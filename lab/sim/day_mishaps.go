// Orders that go wrong on their way: two under one number, one sent again long
// after, and one about a zone that a cut holds up.

package sim

import (
	"slices"

	"wallport/api/routingpb"
	"wallport/control/operations"
	"wallport/lab/rules"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Points that the orders below are judged by.
const (
	pointOneNumber = "one_number_once"
	pointSentAgain = "sent_again_acknowledged"
	pointLateOrder = "late_order_does_nothing"
)

// settles is how long after a late order the zone must be as it was.
const settles = 3_000_000

// mishap brings one about.
func (d *day) mishap(e *entry) bool {
	switch e.verb {
	case "same_number":
		for i := range max(1, e.count) {
			d.w.after(int64(i)*e.gapUs, d.oper.sameNumber)
		}
	case "sent_again":
		for i := range max(1, e.count) {
			d.w.after(int64(i)*e.gapUs, d.oper.sentAgain)
		}
	case "late_evacuate":
		d.lateEvacuate(e)
	default:
		return false
	}
	return true
}

// sameNumber has two operators pick one number for different changes, whole or by items.
func (o *orders) sameNumber() {
	o.enqueue(func() {
		base, revision, acked := o.base, o.next(), 0
		for _, how := range []string{"timeout", "idle"} {
			changed := o.draft(how)
			table := apply(base.Table, changed)
			table.Revision = revision
			edit := &routingpb.RoutingEdit{Base: base.Revision, Revision: revision}
			if o.d.w.rnd.IntN(2) == 0 {
				edit.Whole = withoutRevision(table)
			} else {
				edit.Upsert, edit.WithdrawRoutes = &routingpb.RoutingTable{Routes: changed.routes}, changed.withdraw
			}
			v := &rules.Version{Revision: revision, Base: base.Revision, Table: table}
			o.open++
			o.d.w.after(o.d.w.rnd.Int64N(30_000), func() {
				o.open--
				o.version(edit, v, draft{}, func() {
					if v.Acked != rules.Never {
						acked++
					}
					if acked > 1 {
						o.d.w.Judge.Fail(pointOneNumber, o.d.w.now, "revision %d was acknowledged for two changes", revision)
					}
					o.d.w.Judge.Count("same_number.answered", 1)
					o.turn()
				})
			})
		}
	})
}

// sentAgain sends a change that was acknowledged before once more, at two machines at once.
func (o *orders) sentAgain() {
	if len(o.taken) == 0 {
		return
	}
	again := o.taken[o.d.w.rnd.IntN(len(o.taken))]
	for range 2 {
		again.v.Repeats++
		o.carry(again.edit, pin{}, nil, func(code string, _ *machine) {
			o.d.w.Judge.Count("sent_again."+code, 1)
			if code != "ok" {
				o.d.w.Judge.Fail(pointSentAgain, o.d.w.now, "a change that was acknowledged was answered %s when it was sent again", code)
			}
		})
	}
}

// lateEvacuate gives a machine an order to evacuate a zone, which a cut holds up; the operator
// gives it up and takes the zone back elsewhere. With how=core the machine takes the order and is
// cut off from the core a moment later; otherwise the order reaches it when the cut is over.
func (d *day) lateEvacuate(e *entry) {
	list := d.cores()
	m := list[d.w.rnd.IntN(len(list))]
	// Nobody hears what becomes of it.
	d.journal.ZoneCalls = append(d.journal.ZoneCalls, &rules.ZoneCall{Zone: e.zone, Drains: true, Sent: d.w.now, Acked: rules.Never})
	give := func() {
		p := m.core
		if !p.runs() {
			return
		}
		d.w.Judge.Count("late_evacuate.given", 1)
		p.feed(func() {
			p.call("operate", operations.Submit{Edit: wire.Edit{Op: "empty", Name: e.zone}, AwaitInForce: true, AwaitTimeout: waitUs, Timeout: answerUs}, nil)
			id := p.nextCall
			// The end of the connection follows the order at once where the operator has gone.
			after := int64(silentUs)
			if !e.is("core") {
				after = 100
			}
			p.later(after, func() { p.step(kernel.Canceled{Plugin: "operate", ID: id}) })
		})
	}
	if e.is("core") {
		give()
		d.w.after(d.w.rnd.Int64N(8_000), func() { d.cutFromAll(m, e.forUs) })
	} else {
		d.w.after(e.forUs, give)
	}
	d.w.after(e.forUs/2, func() {
		back := &rules.ZoneCall{Zone: e.zone, Sent: d.w.now, Acked: rules.Never}
		d.journal.ZoneCalls = append(d.journal.ZoneCalls, back)
		d.oper.carry(wire.Edit{Op: "refill", Name: e.zone}, pin{}, nil, func(code string, _ *machine) {
			d.w.Judge.Count("late_evacuate.taken_back."+code, 1)
			if code == "ok" {
				back.Acked = d.w.now
			}
			d.w.after(e.forUs+settles, func() { d.zoneIsRestored(e.zone) })
		})
	})
}

// cutFromAll cuts a machine off from all others for a while.
func (d *day) cutFromAll(m *machine, forUs int64) {
	d.trouble(forUs)
	var ways []string
	for _, other := range d.machines {
		if other != m {
			ways = append(ways, m.name+">"+other.name, other.name+">"+m.name)
		}
	}
	d.block(ways, true, false)
	m.event()
	d.look()
	d.w.after(forUs, func() { d.block(ways, false, false); m.event(); d.look() })
}

func (d *day) zoneIsRestored(zone string) {
	for _, m := range d.machines {
		p := m.node
		if !p.runs() || p.table.Current() == nil {
			continue
		}
		d.w.Judge.Count("late_evacuate.looked", 1)
		if slices.Contains(p.table.Current().Config.DrainedZones, zone) {
			d.w.Judge.Fail(pointLateOrder, d.w.now, "%s has %s drained, which was taken back after that order was given", m.name, zone)
		}
	}
}
