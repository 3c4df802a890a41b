// Troubles that wait for a moment of the system: an acknowledgement, a change
// that is sent, a request that a machine has taken.

package sim

// armedTake waits until a counted machine has taken a request that may run once only.
type armedTake func(m *machine)

// arm lets a trouble wait for its moment.
func (d *day) arm(e *dayStep) {
	switch {
	case e.has("timed"):
		d.commands.sentArmed = append(d.commands.sentArmed, func() {
			d.world.after(d.drawArmedDelay(), func() {
				if m := d.leader(); m != nil {
					d.strikeAfterAck(e, m)
				}
			})
		})
	case e.has("taken"):
		d.armTaken(func(m *machine) { d.strikeAfterAck(e, m) })
	default:
		d.commands.armed = append(d.commands.armed, func(m *machine) { d.strikeAfterAck(e, m) })
	}
}

// drawArmedDelay is a moment soon after a change was sent, acknowledged or not.
func (d *day) drawArmedDelay() int64 { return 5000 + d.world.rng.Int64N(395_000) }

func (d *day) armTaken(f armedTake) { d.armedTakes = append(d.armedTakes, f) }

// machineTookRequest tells that a machine has read a client's request.
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

// strikeFurther strikes further counted machines beside the one that acknowledged, as many as are borne.
func (d *day) strikeFurther(e *dayStep) {
	for range e.count - 1 {
		m := d.drawCoreMember(&dayStep{})
		if m == nil || d.toleratedFaults(nil) < 1 {
			return
		}
		m.powerOff()
		if e.verb == "after_ack_wipe" {
			m.wipe()
		}
		d.endFaultAfter(e, m, e.forUs, m.powerOn)
		d.updateFaultSpans()
	}
}
