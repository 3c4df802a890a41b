// Faults that wait for an event of the system: an acknowledgement, the sending of a change, or a request that a
// machine has accepted.

package sim

import "wallport/runtime/clock"

// armedTake is called with the core member that has accepted a request which may run only once.
type armedTake func(m *machine)

// arm defers a fault until its event.
func (d *day) arm(step *dayStep) {
	switch {
	case step.has("timed"):
		d.commands.sentArmed = append(d.commands.sentArmed, func() {
			d.world.after(d.drawArmedDelay(), func() {
				if m := d.leader(); m != nil {
					d.strikeAfterAck(step, m)
				}
			})
		})
	case step.has("taken"):
		d.armTaken(func(m *machine) { d.strikeAfterAck(step, m) })
	default:
		d.commands.armed = append(d.commands.armed, func(m *machine) { d.strikeAfterAck(step, m) })
	}
}

// drawArmedDelay draws a delay shortly after a change was sent, acknowledged or not.
func (d *day) drawArmedDelay() clock.Micros { return 5000 + d.world.rng.Int64N(395*clock.Millisecond) }

func (d *day) armTaken(f armedTake) { d.armedTakes = append(d.armedTakes, f) }

// machineTookRequest is called when a machine has read a client's request.
func (d *day) machineTookRequest(m *machine, repeatable bool) {
	if repeatable || !m.coreMember() || len(d.armedTakes) == 0 {
		return
	}
	armed := d.armedTakes
	d.armedTakes = nil
	for _, f := range armed {
		d.world.after(d.world.rng.Int64N(4000), func() { f(m) })
	}
}

// strikeFurther hits further core members beside the one that acknowledged, as many as the deployment tolerates.
func (d *day) strikeFurther(step *dayStep) {
	for range step.count - 1 {
		m := d.drawCoreMember(&dayStep{})
		if m == nil || d.toleratedFaults(nil) < 1 {
			return
		}
		m.powerOff()
		if step.verb == "after_ack_wipe" {
			m.wipe()
		}
		d.endFaultAfter(step, m, step.forUs, m.powerOn)
		d.updateFaultSpans()
	}
}
