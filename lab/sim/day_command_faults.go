// Faults of operators' commands: two changes under the same revision, a change that is sent again long after its
// acknowledgement, and an evacuation command that a network partition delays.

package sim

import (
	"slices"

	"wallport/control/operations"
	"wallport/lab/rules"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Names under which violations of the rules for these commands are reported.
const (
	pointOneNumber   = "one_number_once"
	pointSentAgain   = "sent_again_acknowledged"
	pointLateCommand = "late_order_does_nothing"
)

// zoneSettleUs is added to step.forUs: that long after the answer to the command that restores the zone, no node may
// have the zone drained.
const zoneSettleUs = 3 * clock.Second

// commandFault runs the step if it is a command fault, and reports whether it was one.
func (d *day) commandFault(step *dayStep) bool {
	switch step.verb {
	case "same_number":
		for i := range max(1, step.count) {
			d.sim.after(int64(i)*step.gapUs, d.commands.sameNumber)
		}
	case "sent_again":
		for i := range max(1, step.count) {
			d.sim.after(int64(i)*step.gapUs, d.commands.sentAgain)
		}
	case "late_evacuate":
		d.lateEvacuate(step)
	default:
		return false
	}
	return true
}

// sameNumber sends two different changes under the same revision, as if two operators had chosen it independently. Each
// change is sent either with a complete table or with only the changed routes. At most one of the changes may be
// acknowledged.
func (c *commands) sameNumber() {
	c.enqueue(func() {
		base, revision, acked := c.base, c.nextRevision(), 0
		for _, how := range []string{"timeout", "idle"} {
			changed := c.draft(how)
			edit, table := c.editOf(base, changed, revision)
			version := &rules.Version{Revision: revision, Base: base.Revision, Table: table}
			c.inFlight++
			c.day.sim.after(c.day.sim.rng.Int64N(30*clock.Millisecond), func() {
				c.inFlight--
				c.sendVersion(edit, version, draft{}, func() {
					if version.Acked != rules.Never {
						acked++
					}
					if acked > 1 {
						c.day.sim.Checker.Fail(pointOneNumber, c.day.sim.now, "revision %d was acknowledged for two different changes", revision)
					}
					c.day.sim.Checker.Count("same_number.answered", 1)
					c.runNext()
				})
			})
		}
	})
}

// sentAgain sends a random acknowledged change again, in two calls at the same time. Both calls must be acknowledged.
func (c *commands) sentAgain() {
	if len(c.accepted) == 0 {
		return
	}
	change := c.accepted[c.day.sim.rng.IntN(len(c.accepted))]
	for range 2 {
		change.version.Repeats++
		c.sendEdit(change.edit, pin{}, nil, func(code wire.Code, _ *machine) {
			c.day.sim.Checker.Count("sent_again."+string(code), 1)
			if code != wire.CodeOK {
				c.day.sim.Checker.Fail(pointSentAgain, c.day.sim.now, "an acknowledged change was answered %s when it was sent again", code)
			}
		})
	}
}

// lateEvacuate sends a command to evacuate a zone to a random machine, and a partition delays the command or its
// effect. The operator gives up and restores the zone after half of step.forUs. With how=core the machine receives
// the command and is partitioned from all other machines up to 8 ms later; otherwise the command reaches the machine
// only after step.forUs, as if a partition had held it back.
func (d *day) lateEvacuate(step *dayStep) {
	list := d.listedCores()
	m := list[d.sim.rng.IntN(len(list))]
	// The operator never learns the outcome of this command.
	d.journal.ZoneCalls = append(d.journal.ZoneCalls, &rules.ZoneCall{Zone: step.zone, Drains: true, Sent: d.sim.now, Acked: rules.Never})
	deliverCommand := func() {
		p := m.core
		if !p.running() {
			return
		}
		d.sim.Checker.Count("late_evacuate.given", 1)
		p.deliver(func() {
			p.call("operate", operations.Submit{Edit: wire.Edit{Op: "empty", Name: step.zone}, AwaitInForce: true, AwaitTimeout: awaitInForceUs, Timeout: answerTimeoutUs}, nil)
			id := p.nextCall
			// If the operator has already given up, the end of the connection arrives right after the command.
			after := int64(commandTimeoutUs)
			if !step.has("core") {
				after = 100
			}
			p.deliverAfter(after, func() { p.step(kernel.Canceled{Plugin: "operate", ID: id}) })
		})
	}
	if step.has("core") {
		deliverCommand()
		d.sim.after(d.sim.rng.Int64N(8*clock.Millisecond), func() { d.partitionMachine(m, step.forUs) })
	} else {
		d.sim.after(step.forUs, deliverCommand)
	}
	d.sim.after(step.forUs/2, func() {
		restore := &rules.ZoneCall{Zone: step.zone, Sent: d.sim.now, Acked: rules.Never}
		d.journal.ZoneCalls = append(d.journal.ZoneCalls, restore)
		d.commands.sendEdit(wire.Edit{Op: "refill", Name: step.zone}, pin{}, nil, func(code wire.Code, _ *machine) {
			d.sim.Checker.Count("late_evacuate.taken_back."+string(code), 1)
			if code == wire.CodeOK {
				restore.Acked = d.sim.now
			}
			d.sim.after(step.forUs+zoneSettleUs, func() { d.checkZoneRestored(step.zone) })
		})
	})
}

// partitionMachine partitions a machine from all other machines for forUs.
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
	d.sim.after(forUs, func() { d.setPartitioned(links, false, false); m.recordEvent(); d.updateFaultSpans() })
}

func (d *day) checkZoneRestored(zone string) {
	for _, m := range d.machines {
		p := m.node
		if !p.running() || p.snapshots.Current() == nil {
			continue
		}
		d.sim.Checker.Count("late_evacuate.looked", 1)
		if slices.Contains(p.snapshots.Current().Config.DrainedZones, zone) {
			d.sim.Checker.Fail(pointLateCommand, d.sim.now, "node %s has zone %s drained, although the zone was restored after the command to drain it was sent", m.name, zone)
		}
	}
}
