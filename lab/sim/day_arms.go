// Troubles that wait for a moment of the system: an acknowledgement, a change
// that is sent, a request that a machine has taken.

package sim

// armedTake waits until a counted machine has taken a request that may run once only.
type armedTake func(m *machine)

// arm lets a trouble wait for its moment.
func (d *day) arm(e *entry) {
	switch {
	case e.is("timed"):
		d.oper.sentArmed = append(d.oper.sentArmed, func() {
			d.w.after(d.timed(), func() {
				if m := d.leader(); m != nil {
					d.afterAck(e, m)
				}
			})
		})
	case e.is("taken"):
		d.armTaken(func(m *machine) { d.afterAck(e, m) })
	default:
		d.oper.armed = append(d.oper.armed, func(m *machine) { d.afterAck(e, m) })
	}
}

// timed is a moment soon after a change was sent, acknowledged or not.
func (d *day) timed() int64 { return 5000 + d.w.rnd.Int64N(395_000) }

func (d *day) armTaken(f armedTake) { d.takes = append(d.takes, f) }

// took tells that a machine has read a client's request.
func (d *day) took(m *machine, repeatable bool) {
	if repeatable || !m.counted() || len(d.takes) == 0 {
		return
	}
	armed := d.takes
	d.takes = nil
	for _, f := range armed {
		d.w.after(d.w.rnd.Int64N(4000), func() { f(m) })
	}
}

// more strikes further counted machines beside the one that acknowledged, as many as are borne.
func (d *day) more(e *entry) {
	for range e.count - 1 {
		m := d.draw(&entry{})
		if m == nil || d.borne(nil) < 1 {
			return
		}
		m.powerOff()
		if e.verb == "after_ack_wipe" {
			m.wipe()
		}
		d.later(e, m, e.forUs, m.powerOn)
		d.look()
	}
}
