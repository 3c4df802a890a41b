// Orders at one machine, acknowledgements that are lost on their way, and orders
// that are sent again although they were acknowledged.

package sim

import (
	"fmt"

	"wallport/lab/rules"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// pin is the machine that an order goes to first; only tells that it goes there until it answers.
type pin struct {
	m    *machine
	only bool
}

// ackLoss is the share of acknowledgements that are lost until a moment.
type ackLoss struct {
	until int64
	share float64
}

// takenChange is a change that was acknowledged, as it was sent.
type takenChange struct {
	edit wire.Edit
	v    *rules.Version
}

// target picks the machine that an order goes to: another one than the last time.
func (o *orders) target(c *order) *machine {
	if m := c.pin.m; m != nil && !m.gone {
		if !c.pin.only {
			c.pin.m = nil
		}
		return m
	}
	list := o.d.cores()
	if len(list) == 0 {
		return nil
	}
	m := list[o.d.w.rnd.IntN(len(list))]
	for range 4 {
		if m == c.avoid {
			m = list[o.d.w.rnd.IntN(len(list))]
		}
	}
	return m
}

// loses notes an acknowledgement that leaves a machine, and tells whether it is lost on its way.
func (o *orders) loses(c *order, code string) bool {
	if code != "ok" || c.left == nil {
		return false
	}
	c.left()
	if o.d.w.now >= o.loss.until || o.d.w.rnd.Float64() >= o.loss.share {
		return false
	}
	o.d.w.Judge.Count("acks_lost", 1)
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
func (o *orders) loseAcks(e *entry) {
	o.loss = ackLoss{o.d.w.now + e.forUs, e.xOr(0.7)}
}

// resend sends the last changes that were acknowledged again, as they were, several at a time.
func (o *orders) resend(n int) {
	d := o.d
	for _, c := range o.taken[max(0, len(o.taken)-n):] {
		d.w.after(d.w.rnd.Int64N(300_000), func() {
			o.carry(c.edit, pin{}, nil, func(code string, _ *machine) {
				d.w.Judge.Count("resent."+code, 1)
				c.v.Repeats++
				if code != "ok" && c.v.RefusedAgain == 0 {
					c.v.RefusedAgain = d.w.now
				}
			})
		})
	}
}

// announce runs what waits for a configuration to be sent.
func (o *orders) announce() {
	armed := o.sentArmed
	o.sentArmed = nil
	for _, f := range armed {
		f()
	}
}

// hangUp ends the operator's connection to a process whose answer it no longer waits for.
func (o *orders) hangUp(p *proc, over *bool, id uint64) {
	sent := o.d.w.now
	p.later(silentUs+controlUs, func() {
		if *over && p.calls[id] != nil {
			o.d.w.Judge.Count("orders.abandoned", 1)
			p.w.note(fmt.Sprintf("%s: the operator that called at %d us has gone", p.name, sent))
			p.step(kernel.Canceled{Plugin: "operate", ID: id})
		}
	})
}
