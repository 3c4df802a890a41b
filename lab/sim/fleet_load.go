// The scenario verbs for limits and load: capacity and ceilings of the configuration, request rate, mix of kinds,
// and skew of the callers towards a few nodes.

package sim

import (
	"maps"
	"strconv"
	"strings"

	"wallport/lab/check"
	"wallport/request/search"
)

// shares holds the quota share of each kind in the shape's configuration, in percent.
var shares = map[search.Kind]float64{search.KindSearch: 60, search.KindRead: 20, search.KindCorrect: 10, search.KindPart: 10}

// applyLoadVerb runs a verb that changes the load or the limits.
func (sim *Simulation) applyLoadVerb(verb string, args []string) {
	first := parseInt(args[0])
	switch verb {
	case "rate":
		sim.callers.rate = first
	case "skew":
		// The argument is the percentage of the requests that goes to two of the nodes.
		sim.callers.skew = first
	case "mix":
		sim.callers.mix = nil
		for _, a := range args {
			sim.callers.mix = append(sim.callers.mix, parseInt(a))
		}
	case "limits":
		sim.operators.capacity = first
		sim.operators.ceilings = map[string]float64{}
		for _, a := range args[1:] {
			kind, n, _ := strings.Cut(a, "=")
			sim.operators.ceilings[kind], _ = strconv.ParseFloat(n, 64)
		}
		sim.operators.put(sim.operators.pickNode(), sim.operators.current(), "put", 0, nil)
	}
	sim.checkLimits()
}

// checkLimits reports to the checker the limits that hold from now on. They change with the configuration and when
// a booking starts or ends.
func (sim *Simulation) checkLimits() {
	if sim.Script.Text("judge_limits", "") == "" {
		return
	}
	capacity := float64(sim.operators.capacity)
	l := check.Limits{From: sim.now, Capacity: capacity, Shares: map[string]float64{}, Ceilings: maps.Clone(sim.operators.ceilings), Spare: map[string]float64{}, Booked: map[string]bool{}}
	booked, all := map[string]float64{}, 0.0
	for _, b := range sim.operators.bookings {
		if b.from <= sim.now && sim.now < b.to {
			booked[b.kind] += capacity * float64(b.slice) / 100
			all += capacity * float64(b.slice) / 100
		}
	}
	l.Free = capacity - all
	for of, share := range shares {
		kind := string(of)
		l.Booked[kind] = booked[kind] > 0
		l.Shares[kind] = (capacity-all)*share/100 + booked[kind]
		l.Spare[kind] = capacity - all + booked[kind]
	}
	sim.Checker.Limit(l)
}
