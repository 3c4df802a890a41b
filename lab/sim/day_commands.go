// The operators of a day. Each command is sent unchanged to one core after another until an answer is final.
// Acknowledgements can be lost, and acknowledged changes can be sent again.

package sim

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/control/operations"
	"wallport/lab/rules"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Time-outs, backoff and latency of operators' calls. answerTimeoutUs and awaitInForceUs equal operationTimeout and
// nodesTimeout of package platform.
const (
	commandTimeoutUs = clock.Second
	backoffUs        = 50 * clock.Millisecond
	backoffMaxUs     = clock.Second
	answerTimeoutUs  = 800 * clock.Millisecond
	awaitInForceUs   = 300 * clock.Millisecond
	controlLatencyUs = 1000
)

type commands struct {
	day *day
	// base is the newest acknowledged version, on which the next change is based.
	base     *rules.Version
	revision int64
	queue    []func()
	inFlight int
	nextIdle int
	// ackHooks are called once, at the next acknowledgement, with the machine that sent it.
	ackHooks []func(m *machine)
	// lastAcked is the machine that sent the most recent acknowledgement.
	lastAcked *machine
	zones     map[string]*rules.Evacuation
	// sendHooks are called once, when the next configuration is sent.
	sendHooks []func()
	races     int
	ackLoss   ackLoss
	accepted  []acceptedChange
}

// command is one call of an operator. The call is repeated until its answer is final or, if until is set, until that
// time.
type command struct {
	request func() any
	code    func(v any) wire.Code
	done    func(code wire.Code, m *machine)
	backoff clock.Micros
	avoid   *machine
	until   clock.Micros
	pin     pin
	// acknowledged is called for each acknowledgement that a machine sends, even if the acknowledgement is lost.
	acknowledged func()
}

func (c *commands) init(d *day) { c.day, c.zones = d, map[string]*rules.Evacuation{} }

// send sends the command to a core. Without a final answer it tries again, with exponential backoff.
func (c *commands) send(cmd *command) {
	d := c.day
	retry := func() {
		cmd.backoff = min(backoffMaxUs, max(backoffUs, cmd.backoff*3/2))
		d.sim.after(cmd.backoff, func() { c.send(cmd) })
	}
	if cmd.until > 0 && d.sim.now >= cmd.until {
		return
	}
	m := c.target(cmd)
	if m == nil {
		retry()
		return
	}
	cmd.avoid = m
	ended := false
	p := m.core
	next := func() {
		if !ended {
			ended = true
			retry()
		}
	}
	switch {
	case m.poweredOff:
	case !p.up:
		d.sim.after(2*controlLatencyUs, next)
		return
	default:
		incarnation := p.incarnation
		d.sim.after(controlLatencyUs, func() {
			p.deliver(func() {
				c.disconnectOperator(p, &ended, p.nextCall+1)
				p.call("operate", cmd.request(), func(v any) {
					code := cmd.code(v)
					lost := c.losesAck(cmd, code)
					d.sim.after(controlLatencyUs, func() {
						if ended || lost || m.poweredOff || p.incarnation != incarnation {
							return
						}
						if code == wire.CodeOverloaded || code == wire.CodeUnknown {
							d.sim.Checker.Count("orders."+string(code), 1)
							cmd.pin = pin{}
							next()
							return
						}
						ended = true
						cmd.done(code, m)
					})
				})
			})
		})
	}
	d.sim.after(commandTimeoutUs, next)
}

func editCode(v any) wire.Code { return (v.(operations.Result).Reply.Code) }

// sendEdit sends a command that changes the control state.
func (c *commands) sendEdit(e wire.Edit, at pin, acknowledged func(), done func(code wire.Code, m *machine)) {
	c.send(&command{
		request: func() any {
			return operations.Submit{Edit: e, AwaitInForce: true, AwaitTimeout: awaitInForceUs, Timeout: answerTimeoutUs}
		},
		code: editCode, done: done, pin: at, acknowledged: acknowledged,
	})
}

// sendVersion sends a configuration and records it in the journal; a truncated draft is sent without its last byte.
func (c *commands) sendVersion(e *routingpb.RoutingEdit, version *rules.Version, df draft, done func()) {
	d := c.day
	version.Sent, version.Acked, version.Refused = d.sim.now, rules.Never, rules.Never
	d.journal.Versions = append(d.journal.Versions, version)
	d.sim.Checker.Count("versions", 1)
	body, err := proto.Marshal(e)
	if err != nil {
		panic(err)
	}
	if df.truncated {
		body = body[:len(body)-1]
	}
	c.inFlight++
	d.sim.logEvent(fmt.Sprintf("revision %d based on %d is sent", version.Revision, version.Base))
	edit := wire.Edit{Op: "routing", Body: body}
	c.runSendHooks()
	c.sendEdit(edit, df.pin, firstTime(&version.FirstAcked, &d.sim.now), func(code wire.Code, m *machine) {
		c.inFlight--
		d.sim.Checker.Count("versions."+string(code), 1)
		d.sim.logEvent(fmt.Sprintf("revision %d based on %d: %s from %s", version.Revision, version.Base, code, m.name))
		if code == wire.CodeOK {
			version.Acked = d.sim.now
			c.accepted = append(c.accepted, acceptedChange{edit, version})
			if c.base == nil || version.Revision > c.base.Revision && !version.Invalid {
				c.base = version
			}
			c.recordAck(m)
		} else {
			version.Refused = d.sim.now
		}
		done()
	})
}

// recordAck records the machine that sent an acknowledgement, and calls the hooks that wait for one.
func (c *commands) recordAck(m *machine) {
	c.lastAcked = m
	hooks := c.ackHooks
	c.ackHooks = nil
	for _, f := range hooks {
		f(m)
	}
}

// enqueue runs f once no configuration is in flight, in the order of the calls.
func (c *commands) enqueue(f func()) {
	c.queue = append(c.queue, f)
	c.runNext()
}

func (c *commands) runNext() {
	if c.inFlight > 0 || len(c.queue) == 0 {
		return
	}
	f := c.queue[0]
	c.queue = c.queue[1:]
	f()
}

// evacuate drains a zone if on is set; otherwise it restores the zone once the drain is acknowledged.
func (c *commands) evacuate(zone string, on bool) {
	d := c.day
	if !slices.ContainsFunc(d.site.zones, func(z zoneShape) bool { return z.name == zone }) {
		d.sim.Checker.Count("evacuations.of_no_zone", 1)
		return
	}
	if on {
		if v := c.zones[zone]; v != nil && v.RestoreSent == rules.Never {
			return
		}
		v := &rules.Evacuation{Zone: zone, Sent: d.sim.now, Acked: rules.Never, RestoreSent: rules.Never, RestoreAcked: rules.Never}
		c.zones[zone] = v
		d.journal.Evacuations = append(d.journal.Evacuations, v)
		c.sendEdit(wire.Edit{Op: "empty", Name: zone}, pin{}, firstTime(&v.FirstAcked, &d.sim.now), func(code wire.Code, m *machine) {
			d.sim.Checker.Count("evacuations."+string(code), 1)
			if code == wire.CodeOK {
				v.Acked = d.sim.now
				c.recordAck(m)
			}
		})
		return
	}
	v := c.zones[zone]
	if v == nil || v.RestoreSent != rules.Never {
		return
	}
	if v.Acked == rules.Never {
		d.sim.after(100*clock.Millisecond, func() { c.evacuate(zone, false) })
		return
	}
	v.RestoreSent = d.sim.now
	c.sendEdit(wire.Edit{Op: "refill", Name: zone}, pin{}, firstTime(&v.RestoreFirstAcked, &d.sim.now), func(code wire.Code, _ *machine) {
		d.sim.Checker.Count("evacuations."+string(code), 1)
		if code == wire.CodeOK {
			v.RestoreAcked = d.sim.now
		}
	})
}

// readBack reads the configuration back every 500 ms until the day ends.
func (c *commands) readBack() {
	d := c.day
	var got *routingpb.RoutingTable
	requestedAt := d.sim.now
	c.send(&command{
		request: func() any { requestedAt = d.sim.now; return operations.ReadRouting{Timeout: answerTimeoutUs} }, until: d.end(),
		code: func(v any) wire.Code { got = v.(operations.Routing).Table; return v.(operations.Routing).Code },
		done: func(wire.Code, *machine) {
			d.sim.Checker.Count("read_back", 1)
			d.sim.logEvent(fmt.Sprintf("revision %d is read back", got.GetRevision()))
			d.journal.ReadBack = append(d.journal.ReadBack, rules.Reading{RequestedAt: requestedAt, At: d.sim.now, Table: got})
			d.sim.after(500*clock.Millisecond, c.readBack)
		},
	})
}

// pin is the machine to which a command is sent first. With only set, it is sent to no other machine until that
// machine answers.
type pin struct {
	machine *machine
	only    bool
}

// ackLoss is the share of acknowledgements that are lost until a given time.
type ackLoss struct {
	until clock.Micros
	share float64
}

// acceptedChange is an acknowledged change as it was sent.
type acceptedChange struct {
	edit    wire.Edit
	version *rules.Version
}

// target chooses the machine for a command: the pinned machine, or a random listed core machine, preferably not the
// machine of the previous attempt. It returns nil if no core machine is listed.
func (c *commands) target(cmd *command) *machine {
	if m := cmd.pin.machine; m != nil && !m.removed {
		if !cmd.pin.only {
			cmd.pin.machine = nil
		}
		return m
	}
	list := c.day.listedCores()
	if len(list) == 0 {
		return nil
	}
	m := list[c.day.sim.rng.IntN(len(list))]
	for range 4 {
		if m == cmd.avoid {
			m = list[c.day.sim.rng.IntN(len(list))]
		}
	}
	return m
}

// losesAck calls cmd.acknowledged if a machine's answer is an acknowledgement, and reports whether the
// acknowledgement is lost on its way to the operator.
func (c *commands) losesAck(cmd *command, code wire.Code) bool {
	if code != wire.CodeOK || cmd.acknowledged == nil {
		return false
	}
	cmd.acknowledged()
	if c.day.sim.now >= c.ackLoss.until || c.day.sim.rng.Float64() >= c.ackLoss.share {
		return false
	}
	c.day.sim.Checker.Count("acks_lost", 1)
	return true
}

// firstTime returns a function that sets *at to the current time unless it is set.
func firstTime(at, now *clock.Micros) func() {
	return func() {
		if *at == 0 {
			*at = *now
		}
	}
}

// loseAcks causes a share of the acknowledgements to be lost from now on, for step.forUs.
func (c *commands) loseAcks(step *dayStep) {
	c.ackLoss = ackLoss{c.day.sim.now + step.forUs, step.factorOr(0.7)}
}

// resend sends the n most recent acknowledged changes again, unchanged and within 300 ms.
func (c *commands) resend(n int) {
	d := c.day
	for _, change := range c.accepted[max(0, len(c.accepted)-n):] {
		d.sim.after(d.sim.rng.Int64N(300*clock.Millisecond), func() {
			c.sendEdit(change.edit, pin{}, nil, func(code wire.Code, _ *machine) {
				d.sim.Checker.Count("resent."+string(code), 1)
				change.version.Repeats++
				if code != wire.CodeOK && change.version.RefusedAgain == 0 {
					change.version.RefusedAgain = d.sim.now
				}
			})
		})
	}
}

// runSendHooks calls the hooks that wait for a configuration to be sent.
func (c *commands) runSendHooks() {
	hooks := c.sendHooks
	c.sendHooks = nil
	for _, f := range hooks {
		f()
	}
}

// disconnectOperator closes the operator's connection to a process after the call's time-out, if the process has not
// answered the call by then.
func (c *commands) disconnectOperator(p *process, ended *bool, id uint64) {
	sent := c.day.sim.now
	p.deliverAfter(commandTimeoutUs+controlLatencyUs, func() {
		if *ended && p.calls[id] != nil {
			c.day.sim.Checker.Count("orders.abandoned", 1)
			p.sim.logEvent(fmt.Sprintf("%s: the operator disconnects from its call of %d us", p.name, sent))
			p.step(kernel.Canceled{Plugin: "operate", ID: id})
		}
	})
}
