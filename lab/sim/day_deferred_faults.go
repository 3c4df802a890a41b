// Faults that are triggered by an event of the system: the acknowledgement of a change, the sending of a change, or
// the acceptance of a client's request by a machine.

package sim

import "wallport/runtime/clock"

// acceptHook is called with a core member's machine after the machine has accepted a client's request that may run
// only once.
type acceptHook func(m *machine)

// deferFault defers a fault until an event triggers it: with "timed", the sending of the next configuration; with
// "taken", the acceptance of a request; otherwise, the next acknowledgement.
func (d *day) deferFault(step *dayStep) {
	switch {
	case step.has("timed"):
		d.commands.sendHooks = append(d.commands.sendHooks, func() {
			d.sim.after(d.drawDelayAfterSend(), func() {
				if m := d.leader(); m != nil {
					d.failAfterAck(step, m)
				}
			})
		})
	case step.has("taken"):
		d.onNextAccept(func(m *machine) { d.failAfterAck(step, m) })
	default:
		d.commands.ackHooks = append(d.commands.ackHooks, func(m *machine) { d.failAfterAck(step, m) })
	}
}

// drawDelayAfterSend draws a delay of 5 to 400 ms after a change was sent, so that the fault comes before or after
// its acknowledgement.
func (d *day) drawDelayAfterSend() clock.Micros {
	return 5000 + d.sim.rng.Int64N(395*clock.Millisecond)
}

func (d *day) onNextAccept(f acceptHook) { d.acceptHooks = append(d.acceptHooks, f) }

// machineAcceptedRequest is called when a machine has read a client's request. If the request may run only once and
// the machine is a core member, the pending hooks are called within 4 ms.
func (d *day) machineAcceptedRequest(m *machine, repeatable bool) {
	if repeatable || !m.coreMember() || len(d.acceptHooks) == 0 {
		return
	}
	hooks := d.acceptHooks
	d.acceptHooks = nil
	for _, f := range hooks {
		d.sim.after(d.sim.rng.Int64N(4000), func() { f(m) })
	}
}

// failFurtherMembers cuts the power of up to step.count-1 more core members, and with after_ack_wipe also wipes their
// disks. It stops when the deployment tolerates no further loss.
func (d *day) failFurtherMembers(step *dayStep) {
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
