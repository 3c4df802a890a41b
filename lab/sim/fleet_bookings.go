// Simulated bookings: an operator reserves a slice of the capacity for a time window. The check is that the booking
// is active on every reachable node during that window and at no other time.

package sim

import (
	"encoding/json"
	"fmt"
	"slices"

	"wallport/control/config"
	"wallport/control/operations"
	"wallport/control/state"
	"wallport/lab/check"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

type booking struct {
	from, to clock.Micros
	kind     string
	slice    int64
}

// book reserves a slice of the capacity, in percent, from one time to another; both are in seconds of simulated
// time. It repeats the edit until it is accepted or found invalid.
func (o *operators) book(id, kind string, slice, from, to int64) {
	sim := o.sim
	row, _ := json.Marshal(map[string]any{
		"id": id, "index": sim.Shape.Index, "kind": kind, "slice": slice,
		"starts_us": fmt.Sprint(epoch + from*clock.Second), "ends_us": fmt.Sprint(epoch + to*clock.Second),
	})
	body, _ := json.Marshal([]config.RowEdit{{Op: "set", Table: "bookings", Row: row}})
	// Other operators send edits at the same time. They do not conflict with this one, because no other edit
	// changes this row.
	o.sendUntil(func() wire.Edit { return wire.Edit{Op: "rows", Strict: true, Base: o.current().version, Body: body} }, func(code wire.Code) bool {
		sim.logEvent("booking " + id + " " + string(code))
		sim.Checker.Count("bookings."+string(code), 1)
		if code == wire.CodeOK {
			b := booking{from * clock.Second, to * clock.Second, kind, slice}
			o.bookings[id] = b
			sim.at(b.from, sim.checkLimits)
			sim.at(b.to, sim.checkLimits)
		}
		return code == wire.CodeOK || code == wire.CodeInvalid
	})
}

// checkBookings checks which bookings a reachable node has active. A node that became reachable less than
// check.ConfigWithin ago is not checked.
func (sim *Simulation) checkBookings(p *process, running []string, since clock.Micros) {
	if since < 0 || sim.now-since < check.ConfigWithin {
		return
	}
	for id, b := range sim.operators.bookings {
		sim.Checker.Booking(p.name, id, slices.Contains(running, id), b.from, b.to, sim.now)
	}
}

// rebuild sends the operator command that rebuilds the replica group of a partition of the control state; -1 means
// all partitions.
func (o *operators) rebuild(partition int) {
	if partition < 0 {
		for p := range state.Partitions {
			o.rebuild(p)
		}
		return
	}
	p := o.pickNode()
	if p == nil {
		return
	}
	p.deliver(func() {
		p.call("operate", operations.Rebuild{Partition: partition}, func(v any) {
			r := v.(operations.Result).Reply
			o.sim.logEvent(fmt.Sprint("rebuild ", partition, " ", r.Code, " ", r.Findings))
			o.sim.Checker.Count("rebuilds."+string(r.Code), 1)
		})
	})
}
