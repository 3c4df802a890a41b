// What comes back to a node from a backend: answers, refusals, and what trouble
// makes of them.

package sim

import (
	"slices"

	"wallport/lab/rules"
	"wallport/request/dispatch"
)

// back brings what the backend sent to the node.
func (x *exchange) back(f func()) {
	d, l := x.g.d, x.l
	d.w.after(d.latency(l.row.Zone, x.g.p.env.Zone), func() {
		d.pass(x.g.p.machine, l, d.w.now, func(bool) { x.g.p.feed(f) })
	})
}

func (x *exchange) turnedAway(l *life, status int, why string) {
	r := dispatch.Result{Class: dispatch.ClassRejected, Status: status, Load: l.load(), WrongBackend: status == 421, Draining: l.leaving, Reason: why}
	x.back(func() { x.end(r) })
}

func (x *exchange) broke(why string) {
	x.back(func() { x.end(dispatch.Result{Class: dispatch.ClassFailed, ReusedConn: x.reused, Reason: why}) })
}

func (x *exchange) spoilt(short bool) {
	r := dispatch.Result{Class: dispatch.ClassInvalid, Reason: "bytes that are no answer"}
	if short {
		r = dispatch.Result{Class: dispatch.ClassFailed, Reason: "the answer was cut off"}
	}
	x.back(func() { x.end(r) })
}

func (x *exchange) answered(l *life, a *rules.Arrival, surplus bool) {
	r := dispatch.Result{
		Class: dispatch.ClassResponse, Status: a.Status, Body: slices.Clone(a.Answer), Seal: a.Seal, Load: l.load(), Draining: l.leaving,
		ReusedConn: x.reused,
	}
	if surplus && x.conn != nil {
		x.g.d.w.Judge.Count("surplus_answers", 1)
		x.conn.foul = x.g.d.w.now + x.g.d.w.rnd.Int64N(2*surplusAfter)
	}
	x.back(func() { x.end(r) })
}

func (l *life) load() dispatch.LoadReport {
	return dispatch.LoadReport{Running: l.running, Queued: len(l.queue), Slots: l.shape.slots, Known: true}
}
