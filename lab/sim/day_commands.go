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
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of operators' calls, as the platform's control address has them.
const (
	commandTimeoutUs = 1_000_000
	backoffUs        = 50_000
	backoffMaxUs     = 1_000_000
	answerUs         = 800_000
	waitUs           = 300_000
	controlLatencyUs = 1000
)

type commands struct {
	day *day
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
	zones map[string]*rules.Evacuation
	// sentArmed wait for the next configuration to be sent.
	sentArmed []func()
	races     int
	ackLoss   ackLoss
	accepted  []acceptedChange
}

// command is one call of an operator, sent until its answer is clear.
type command struct {
	request func() any
	code    func(v any) string
	done    func(code string, m *machine)
	backoff int64
	avoid   *machine
	until   int64
	pin     pin
	// acknowledged is told of each acknowledgement that leaves a machine, lost on its way or not.
	acknowledged func()
}

func (o *commands) init(d *day) { o.day, o.zones = d, map[string]*rules.Evacuation{} }

// send asks some core; only a clear answer ends it.
func (o *commands) send(c *command) {
	d := o.day
	again := func() {
		c.backoff = min(backoffMaxUs, max(backoffUs, c.backoff*3/2))
		d.world.after(c.backoff, func() { o.send(c) })
	}
	if c.until > 0 && d.world.now >= c.until {
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
	case m.poweredOff:
	case !p.up:
		d.world.after(2*controlLatencyUs, next)
		return
	default:
		life := p.incarnation
		d.world.after(controlLatencyUs, func() {
			p.deliver(func() {
				o.hangUp(p, &over, p.nextCall+1)
				p.call("operate", c.request(), func(v any) {
					code := c.code(v)
					lost := o.losesAck(c, code)
					d.world.after(controlLatencyUs, func() {
						if over || lost || m.poweredOff || p.incarnation != life {
							return
						}
						if code == "shed" || code == "unknown" {
							d.world.Checker.Count("orders."+code, 1)
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
	d.world.after(commandTimeoutUs, next)
}

func editCode(v any) string { return string(v.(operations.Result).Reply.Code) }

// carry is an order that changes something.
func (o *commands) carry(e wire.Edit, at pin, left func(), done func(code string, m *machine)) {
	o.send(&command{
		request: func() any {
			return operations.Submit{Edit: e, AwaitInForce: true, AwaitTimeout: waitUs, Timeout: answerUs}
		},
		code: editCode, done: done, pin: at, acknowledged: left,
	})
}

// sendVersion sends a configuration; one that is cut short lacks its last byte.
func (o *commands) sendVersion(e *routingpb.RoutingEdit, v *rules.Version, df draft, done func()) {
	d := o.day
	v.Sent, v.Acked, v.Refused = d.world.now, rules.Never, rules.Never
	d.journal.Versions = append(d.journal.Versions, v)
	d.world.Checker.Count("versions", 1)
	body, err := proto.Marshal(e)
	if err != nil {
		panic(err)
	}
	if df.truncated {
		body = body[:len(body)-1]
	}
	o.open++
	d.world.logEvent(fmt.Sprintf("order of revision %d on %d is sent", v.Revision, v.Base))
	edit := wire.Edit{Op: "routing", Body: body}
	o.announce()
	o.carry(edit, df.pin, firstTime(&v.FirstAcked, &d.world.now), func(code string, m *machine) {
		o.open--
		d.world.Checker.Count("versions."+code, 1)
		d.world.logEvent(fmt.Sprintf("order of revision %d on %d: %s from %s", v.Revision, v.Base, code, m.name))
		if code == "ok" {
			v.Acked = d.world.now
			o.accepted = append(o.accepted, acceptedChange{edit, v})
			if o.base == nil || v.Revision > o.base.Revision && !v.Invalid {
				o.base = v
			}
			o.acked(m)
		} else {
			v.Refused = d.world.now
		}
		done()
	})
}

// acked runs what waits for an acknowledgement.
func (o *commands) acked(m *machine) {
	o.last = m
	armed := o.armed
	o.armed = nil
	for _, f := range armed {
		f(m)
	}
}

// enqueue runs f once no configuration is under way, in the order of asking.
func (o *commands) enqueue(f func()) {
	o.queue = append(o.queue, f)
	o.runNext()
}

func (o *commands) runNext() {
	if o.open > 0 || len(o.queue) == 0 {
		return
	}
	f := o.queue[0]
	o.queue = o.queue[1:]
	f()
}

// evacuate asks that nothing more be sent to a zone, or takes that back.
func (o *commands) evacuate(zone string, on bool) {
	d := o.day
	if !slices.ContainsFunc(d.site.zones, func(z zoneShape) bool { return z.name == zone }) {
		d.world.Checker.Count("evacuations.of_no_zone", 1)
		return
	}
	if on {
		if v := o.zones[zone]; v != nil && v.RestoreSent == rules.Never {
			return
		}
		v := &rules.Evacuation{Zone: zone, Sent: d.world.now, Acked: rules.Never, RestoreSent: rules.Never, RestoreAcked: rules.Never}
		o.zones[zone] = v
		d.journal.Evacuations = append(d.journal.Evacuations, v)
		o.carry(wire.Edit{Op: "empty", Name: zone}, pin{}, firstTime(&v.FirstAcked, &d.world.now), func(code string, m *machine) {
			d.world.Checker.Count("evacuations."+code, 1)
			if code == "ok" {
				v.Acked = d.world.now
				o.acked(m)
			}
		})
		return
	}
	v := o.zones[zone]
	if v == nil || v.RestoreSent != rules.Never {
		return
	}
	if v.Acked == rules.Never {
		d.world.after(100_000, func() { o.evacuate(zone, false) })
		return
	}
	v.RestoreSent = d.world.now
	o.carry(wire.Edit{Op: "refill", Name: zone}, pin{}, firstTime(&v.RestoreFirstAcked, &d.world.now), func(code string, _ *machine) {
		d.world.Checker.Count("evacuations."+code, 1)
		if code == "ok" {
			v.RestoreAcked = d.world.now
		}
	})
}

// readBack asks for the configuration until it comes, again and again until the day's end.
func (o *commands) readBack() {
	d := o.day
	var got *routingpb.RoutingTable
	asked := d.world.now
	o.send(&command{
		request: func() any { asked = d.world.now; return operations.ReadRouting{Timeout: answerUs} }, until: d.end(),
		code: func(v any) string { got = v.(operations.Routing).Table; return string(v.(operations.Routing).Code) },
		done: func(string, *machine) {
			d.world.Checker.Count("read_back", 1)
			d.world.logEvent(fmt.Sprintf("revision %d is read back", got.GetRevision()))
			d.journal.ReadBack = append(d.journal.ReadBack, rules.Reading{RequestedAt: asked, At: d.world.now, Table: got})
			d.world.after(500_000, o.readBack)
		},
	})
}

// pin is the machine that an order goes to first; only tells that it goes there until it answers.
type pin struct {
	machine *machine
	only    bool
}

// ackLoss is the share of acknowledgements that are lost until a moment.
type ackLoss struct {
	until int64
	share float64
}

// acceptedChange is a change that was acknowledged, as it was sent.
type acceptedChange struct {
	edit    wire.Edit
	version *rules.Version
}

// target picks the machine that an order goes to: another one than the last time.
func (o *commands) target(c *command) *machine {
	if m := c.pin.machine; m != nil && !m.removed {
		if !c.pin.only {
			c.pin.machine = nil
		}
		return m
	}
	list := o.day.listedCores()
	if len(list) == 0 {
		return nil
	}
	m := list[o.day.world.rng.IntN(len(list))]
	for range 4 {
		if m == c.avoid {
			m = list[o.day.world.rng.IntN(len(list))]
		}
	}
	return m
}

// losesAck notes an acknowledgement that leaves a machine, and tells whether it is lost on its way.
func (o *commands) losesAck(c *command, code string) bool {
	if code != "ok" || c.acknowledged == nil {
		return false
	}
	c.acknowledged()
	if o.day.world.now >= o.ackLoss.until || o.day.world.rng.Float64() >= o.ackLoss.share {
		return false
	}
	o.day.world.Checker.Count("acks_lost", 1)
	return true
}

// firstTime sets a moment once.
func firstTime(at, now *int64) func() {
	return func() {
		if *at == 0 {
			*at = *now
		}
	}
}

// loseAcks loses a share of the acknowledgements for a while.
func (o *commands) loseAcks(e *dayStep) {
	o.ackLoss = ackLoss{o.day.world.now + e.forUs, e.factorOr(0.7)}
}

// resend sends the last changes that were acknowledged again, as they were, several at a time.
func (o *commands) resend(n int) {
	d := o.day
	for _, c := range o.accepted[max(0, len(o.accepted)-n):] {
		d.world.after(d.world.rng.Int64N(300_000), func() {
			o.carry(c.edit, pin{}, nil, func(code string, _ *machine) {
				d.world.Checker.Count("resent."+code, 1)
				c.version.Repeats++
				if code != "ok" && c.version.RefusedAgain == 0 {
					c.version.RefusedAgain = d.world.now
				}
			})
		})
	}
}

// announce runs what waits for a configuration to be sent.
func (o *commands) announce() {
	armed := o.sentArmed
	o.sentArmed = nil
	for _, f := range armed {
		f()
	}
}

// hangUp ends the operator's connection to a process whose answer it no longer waits for.
func (o *commands) hangUp(p *process, over *bool, id uint64) {
	sent := o.day.world.now
	p.deliverAfter(commandTimeoutUs+controlLatencyUs, func() {
		if *over && p.calls[id] != nil {
			o.day.world.Checker.Count("orders.abandoned", 1)
			p.world.logEvent(fmt.Sprintf("%s: the operator that called at %d us has gone", p.name, sent))
			p.step(kernel.Canceled{Plugin: "operate", ID: id})
		}
	})
}
