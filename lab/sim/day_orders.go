// The operators of a day: each order goes to one core after another until the
// answer is clear, unchanged every time.

package sim

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/control/operations"
	"wallport/lab/rules"
	"wallport/runtime/wire"
)

// Figures of operators' calls, as the platform's control address has them.
const (
	silentUs  = 1_000_000
	pauseUs   = 50_000
	pauseMost = 1_000_000
	answerUs  = 800_000
	waitUs    = 300_000
	controlUs = 1000
)

type orders struct {
	d *day
	// base is the newest version that was acknowledged, to build the next one on.
	base     *rules.Version
	revision int64
	queue    []func()
	open     int
	nextIdle int
	// armed wait for the next acknowledgement.
	armed []func(m *machine)
	// last is the machine that acknowledged last.
	last  *machine
	zones map[string]*rules.Order
	// sentArmed wait for the next configuration to be sent.
	sentArmed []func()
	races     int
	loss      ackLoss
	taken     []takenChange
}

// order is one call of an operator, sent until its answer is clear.
type order struct {
	ask   func() any
	code  func(v any) string
	done  func(code string, m *machine)
	pause int64
	avoid *machine
	until int64
	pin   pin
	// left is told of each acknowledgement that leaves a machine, lost on its way or not.
	left func()
}

func (o *orders) init(d *day) { o.d, o.zones = d, map[string]*rules.Order{} }

// send asks some core; only a clear answer ends it.
func (o *orders) send(c *order) {
	d := o.d
	again := func() {
		c.pause = min(pauseMost, max(pauseUs, c.pause*3/2))
		d.w.after(c.pause, func() { o.send(c) })
	}
	if c.until > 0 && d.w.now >= c.until {
		return
	}
	m := o.target(c)
	if m == nil {
		again()
		return
	}
	c.avoid = m
	over := false
	p := m.core
	next := func() {
		if !over {
			over = true
			again()
		}
	}
	switch {
	case m.dark:
	case !p.up:
		d.w.after(2*controlUs, next)
		return
	default:
		life := p.life
		d.w.after(controlUs, func() {
			p.feed(func() {
				o.hangUp(p, &over, p.nextCall+1)
				p.call("operate", c.ask(), func(v any) {
					code := c.code(v)
					lost := o.loses(c, code)
					d.w.after(controlUs, func() {
						if over || lost || m.dark || p.life != life {
							return
						}
						if code == "shed" || code == "unknown" {
							d.w.Judge.Count("orders."+code, 1)
							c.pin = pin{}
							next()
							return
						}
						over = true
						c.done(code, m)
					})
				})
			})
		})
	}
	d.w.after(silentUs, next)
}

func editCode(v any) string { return v.(operations.Result).Reply.Code }

// carry is an order that changes something.
func (o *orders) carry(e wire.Edit, at pin, left func(), done func(code string, m *machine)) {
	o.send(&order{
		ask: func() any {
			return operations.Submit{Edit: e, AwaitInForce: true, AwaitTimeout: waitUs, Timeout: answerUs}
		},
		code: editCode, done: done, pin: at, left: left,
	})
}

// version sends a configuration; one that is cut short lacks its last byte.
func (o *orders) version(e *routingpb.RoutingEdit, v *rules.Version, df draft, done func()) {
	d := o.d
	v.Sent, v.Acked, v.Refused = d.w.now, rules.Never, rules.Never
	d.journal.Versions = append(d.journal.Versions, v)
	d.w.Judge.Count("versions", 1)
	body, err := proto.Marshal(e)
	if err != nil {
		panic(err)
	}
	if df.cutShort {
		body = body[:len(body)-1]
	}
	o.open++
	d.w.note(fmt.Sprintf("order of revision %d on %d is sent", v.Revision, v.Base))
	edit := wire.Edit{Op: "routing", Body: body}
	o.announce()
	o.carry(edit, df.pin, firstTime(&v.Taken, &d.w.now), func(code string, m *machine) {
		o.open--
		d.w.Judge.Count("versions."+code, 1)
		d.w.note(fmt.Sprintf("order of revision %d on %d: %s from %s", v.Revision, v.Base, code, m.name))
		if code == "ok" {
			v.Acked = d.w.now
			o.taken = append(o.taken, takenChange{edit, v})
			if o.base == nil || v.Revision > o.base.Revision && !v.Invalid {
				o.base = v
			}
			o.acked(m)
		} else {
			v.Refused = d.w.now
		}
		done()
	})
}

// acked runs what waits for an acknowledgement.
func (o *orders) acked(m *machine) {
	o.last = m
	armed := o.armed
	o.armed = nil
	for _, f := range armed {
		f(m)
	}
}

// enqueue runs f once no configuration is under way, in the order of asking.
func (o *orders) enqueue(f func()) {
	o.queue = append(o.queue, f)
	o.turn()
}

func (o *orders) turn() {
	if o.open > 0 || len(o.queue) == 0 {
		return
	}
	f := o.queue[0]
	o.queue = o.queue[1:]
	f()
}

// evacuate asks that nothing more be sent to a zone, or takes that back.
func (o *orders) evacuate(zone string, on bool) {
	d := o.d
	if !slices.ContainsFunc(d.site.zones, func(z zoneShape) bool { return z.name == zone }) {
		d.w.Judge.Count("evacuations.of_no_zone", 1)
		return
	}
	if on {
		if v := o.zones[zone]; v != nil && v.Back == rules.Never {
			return
		}
		v := &rules.Order{Zone: zone, Sent: d.w.now, Acked: rules.Never, Back: rules.Never, BackAcked: rules.Never}
		o.zones[zone] = v
		d.journal.Orders = append(d.journal.Orders, v)
		o.carry(wire.Edit{Op: "empty", Name: zone}, pin{}, firstTime(&v.Taken, &d.w.now), func(code string, m *machine) {
			d.w.Judge.Count("evacuations."+code, 1)
			if code == "ok" {
				v.Acked = d.w.now
				o.acked(m)
			}
		})
		return
	}
	v := o.zones[zone]
	if v == nil || v.Back != rules.Never {
		return
	}
	if v.Acked == rules.Never {
		d.w.after(100_000, func() { o.evacuate(zone, false) })
		return
	}
	v.Back = d.w.now
	o.carry(wire.Edit{Op: "refill", Name: zone}, pin{}, firstTime(&v.BackTaken, &d.w.now), func(code string, _ *machine) {
		d.w.Judge.Count("evacuations."+code, 1)
		if code == "ok" {
			v.BackAcked = d.w.now
		}
	})
}

// readBack asks for the configuration until it comes, again and again until the day's end.
func (o *orders) readBack() {
	d := o.d
	var got *routingpb.RoutingTable
	asked := d.w.now
	o.send(&order{
		ask: func() any { asked = d.w.now; return operations.ReadRouting{Timeout: answerUs} }, until: d.end(),
		code: func(v any) string { got = v.(operations.Routing).Table; return v.(operations.Routing).Code },
		done: func(string, *machine) {
			d.w.Judge.Count("read_back", 1)
			d.w.note(fmt.Sprintf("revision %d is read back", got.GetRevision()))
			d.journal.ReadBack = append(d.journal.ReadBack, rules.Reading{Asked: asked, At: d.w.now, Table: got})
			d.w.after(500_000, o.readBack)
		},
	})
}
