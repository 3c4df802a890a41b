// Operators' commands that go wrong on their way: two under one revision, one sent again long after, and one
// about a zone that a partition delays.

package sim

import (
	"slices"

	"wallport/control/operations"
	"wallport/lab/rules"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Names of the checks of these commands.
const (
	pointOneNumber   = "one_number_once"
	pointSentAgain   = "sent_again_acknowledged"
	pointLateCommand = "late_order_does_nothing"
)

// zoneSettleUs is how long after a late command the zone must be as it was.
const zoneSettleUs = 3 * clock.Second

// commandFault runs the step if it is a command fault, and reports whether it is.
func (d *day) commandFault(step *dayStep) bool {
	switch step.verb {
	case "same_number":
		for i := range max(1, step.count) {
			d.world.after(int64(i)*step.gapUs, d.commands.sameNumber)
		}
	case "sent_again":
		for i := range max(1, step.count) {
			d.world.after(int64(i)*step.gapUs, d.commands.sentAgain)
		}
	case "late_evacuate":
		d.lateEvacuate(step)
	default:
		return false
	}
	return true
}

// sameNumber makes two operators choose one revision for different changes, complete or by items.
func (c *commands) sameNumber() {
	c.enqueue(func() {
		base, revision, acked := c.base, c.nextRevision(), 0
		for _, how := range []string{"timeout", "idle"} {
			changed := c.draft(how)
			edit, table := c.editOf(base, changed, revision)
			version := &rules.Version{Revision: revision, Base: base.Revision, Table: table}
			c.open++
			c.day.world.after(c.day.world.rng.Int64N(30*clock.Millisecond), func() {
				c.open--
				c.sendVersion(edit, version, draft{}, func() {
					if version.Acked != rules.Never {
						acked++
					}
					if acked > 1 {
						c.day.world.Checker.Fail(pointOneNumber, c.day.world.now, "revision %d was acknowledged for two changes", revision)
					}
					c.day.world.Checker.Count("same_number.answered", 1)
					c.runNext()
				})
			})
		}
	})
}

// sentAgain repeats an acknowledged change at two machines at once.
func (c *commands) sentAgain() {
	if len(c.accepted) == 0 {
		return
	}
	again := c.accepted[c.day.world.rng.IntN(len(c.accepted))]
	for range 2 {
		again.version.Repeats++
		c.carry(again.edit, pin{}, nil, func(code wire.Code, _ *machine) {
			c.day.world.Checker.Count("sent_again."+string(code), 1)
			if code != wire.CodeOK {
				c.day.world.Checker.Fail(pointSentAgain, c.day.world.now, "a change that was acknowledged was answered %s when it was sent again", code)
			}
		})
	}
}

// lateEvacuate sends one machine a command to evacuate a zone, which a partition delays; the operator gives up
// and restores the zone elsewhere. With how=core the machine takes the command and is partitioned from the core
// a moment later; otherwise the command reaches it when the partition heals.
func (d *day) lateEvacuate(step *dayStep) {
	list := d.listedCores()
	m := list[d.world.rng.IntN(len(list))]
	// Its outcome is never known.
	d.journal.ZoneCalls = append(d.journal.ZoneCalls, &rules.ZoneCall{Zone: step.zone, Drains: true, Sent: d.world.now, Acked: rules.Never})
	give := func() {
		p := m.core
		if !p.running() {
			return
		}
		d.world.Checker.Count("late_evacuate.given", 1)
		p.deliver(func() {
			p.call("operate", operations.Submit{Edit: wire.Edit{Op: "empty", Name: step.zone}, AwaitInForce: true, AwaitTimeout: waitUs, Timeout: answerUs}, nil)
			id := p.nextCall
			// The end of the connection follows the command at once where the operator has gone.
			after := int64(commandTimeoutUs)
			if !step.has("core") {
				after = 100
			}
			p.deliverAfter(after, func() { p.step(kernel.Canceled{Plugin: "operate", ID: id}) })
		})
	}
	if step.has("core") {
		give()
		d.world.after(d.world.rng.Int64N(8*clock.Millisecond), func() { d.partitionMachine(m, step.forUs) })
	} else {
		d.world.after(step.forUs, give)
	}
	d.world.after(step.forUs/2, func() {
		back := &rules.ZoneCall{Zone: step.zone, Sent: d.world.now, Acked: rules.Never}
		d.journal.ZoneCalls = append(d.journal.ZoneCalls, back)
		d.commands.carry(wire.Edit{Op: "refill", Name: step.zone}, pin{}, nil, func(code wire.Code, _ *machine) {
			d.world.Checker.Count("late_evacuate.taken_back."+string(code), 1)
			if code == wire.CodeOK {
				back.Acked = d.world.now
			}
			d.world.after(step.forUs+zoneSettleUs, func() { d.checkZoneRestored(step.zone) })
		})
	})
}

// partitionMachine partitions a machine from all others for a while.
func (d *day) partitionMachine(m *machine, forUs clock.Micros) {
	d.recordUnplanned(forUs)
	var links []string
	for _, other := range d.machines {
		if other != m {
			links = append(links, m.name+">"+other.name, other.name+">"+m.name)
		}
	}
	d.setPartitioned(links, true, false)
	m.recordEvent()
	d.updateFaultSpans()
	d.world.after(forUs, func() { d.setPartitioned(links, false, false); m.recordEvent(); d.updateFaultSpans() })
}

func (d *day) checkZoneRestored(zone string) {
	for _, m := range d.machines {
		p := m.node
		if !p.running() || p.snapshots.Current() == nil {
			continue
		}
		d.world.Checker.Count("late_evacuate.looked", 1)
		if slices.Contains(p.snapshots.Current().Config.DrainedZones, zone) {
			d.world.Checker.Fail(pointLateCommand, d.world.now, "%s has %s drained, which was taken back after that order was given", m.name, zone)
		}
	}
}
