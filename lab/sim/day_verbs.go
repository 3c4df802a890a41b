// The steps of a day's scenario. The verbs are the platform's names for faults and planned work; arguments have the
// form NAME=VALUE.

package sim

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"wallport/lab/rules"
	"wallport/lab/script"
	"wallport/runtime/clock"
)

// dayStep is one step with its arguments.
type dayStep struct {
	verb, service, zone, on, how string
	toZone, class                string
	forUs, gapUs                 clock.Micros
	share, factor                float64
	count                        int
	// until is the time after which a rolling restart with "busy" no longer waits for requests in flight.
	until clock.Micros
}

func parseDayStep(st script.Step) (e dayStep, err error) {
	e = dayStep{verb: st.Verb, forUs: 5 * clock.Second, gapUs: clock.Second, service: ""}
	for _, a := range st.Args {
		k, v, ok := strings.Cut(a, "=")
		if !ok {
			return e, fmt.Errorf("argument %q does not have the form NAME=VALUE", a)
		}
		switch k {
		case "service":
			e.service = v
		case "zone":
			e.zone = v
		case "to_zone":
			e.toZone = v
		case "shifted":
			// The argument affects only the time of the step: see Simulation.scheduledDelay.
		case "class":
			e.class = v
		case "on":
			e.on = v
		case "how":
			e.how = strings.ReplaceAll(v, ",", " ")
		case "for", "gap":
			var d time.Duration
			d, err = time.ParseDuration(v)
			if k == "for" {
				e.forUs = d.Microseconds()
			} else {
				e.gapUs = d.Microseconds()
			}
		case "share":
			e.share, err = strconv.ParseFloat(v, 64)
		case "x":
			e.factor, err = strconv.ParseFloat(v, 64)
		case "count":
			e.count, err = strconv.Atoi(v)
		default:
			err = fmt.Errorf("unknown argument %q", k)
		}
		if err != nil {
			return e, err
		}
	}
	return e, nil
}

func (step *dayStep) has(word string) bool { return strings.Contains(" "+step.how+" ", " "+word+" ") }

// modes returns the modes that the argument how lists.
func (step *dayStep) modes() []string { return strings.Fields(step.how) }

func (step *dayStep) shareOr(v float64) float64 {
	if step.share > 0 {
		return step.share
	}
	return v
}

func (step *dayStep) factorOr(v float64) float64 {
	if step.factor > 0 {
		return step.factor
	}
	return v
}

// plannedWork runs the step if it is work of the operators or of the platform, and reports whether it was such work.
func (d *day) plannedWork(step *dayStep) bool {
	c := &d.commands
	switch step.verb {
	case "config_change":
		c.change(step.how)
	case "config_storm":
		n := step.count
		if n == 0 {
			n = int(step.forUs / step.gapUs)
		}
		for i := range n {
			how := []string{"idle", "route", "timeout", "weights", "idle", "invalid"}[i%6]
			d.sim.after(int64(i)*step.gapUs, func() { c.change(how) })
		}
	case "config_race":
		for i := range max(1, step.count) {
			d.sim.after(int64(i)*step.gapUs, func() { c.race(max(2, int(step.factor))) })
		}
	case "bad_config":
		c.sendInvalid(step)
	case "ack_lost":
		c.loseAcks(step)
	case "resend":
		c.resend(max(1, step.count))
	case "hup":
		d.rereadSettings(step)
	case "reshard":
		d.reshard(int64(step.factorOr(3) * 1e6))
	case "evacuate":
		c.evacuate(step.zone, true)
	case "take_back":
		for _, inc := range d.backends.of("*") {
			// Without "warm", the backends of the zone are cold when the zone is restored.
			if inc.row.Zone == step.zone && !step.has("warm") {
				inc.restartSlowStart()
			}
		}
		d.backends.publish()
		c.evacuate(step.zone, false)
	case "drain":
		d.drainSome(step)
	case "roll_term":
		d.roll(step)
	case "seed_turnover":
		d.rotateSeeds()
	case "replace_core":
		d.replace(step)
	case "rate":
		d.clients.rate *= step.factorOr(1)
	default:
		return d.scalingStep(step) || d.commandFault(step)
	}
	return true
}

func (d *day) runStep(st script.Step) {
	e, err := parseDayStep(st)
	if err != nil {
		panic(fmt.Sprintf("%s:%d: %v", d.sim.Script.Name, st.Line, err))
	}
	d.countStep(&e)
	if d.plannedWork(&e) {
		d.updateFaultSpans()
		return
	}
	if e.has("race") {
		d.commands.race(2)
	}
	if e.has("meet") {
		d.commands.change("route")
	}
	if e.has("drain") {
		d.drainSome(&dayStep{count: 2})
	}
	wait := int64(0)
	if e.has("race") || e.has("meet") {
		wait = d.sim.rng.Int64N(25 * clock.Millisecond)
	}
	d.sim.after(wait, func() {
		if !d.backendFault(&e) && !d.machineFault(&e) {
			panic(fmt.Sprintf("%s:%d: unknown verb %q", d.sim.Script.Name, st.Line, e.verb))
		}
		d.updateFaultSpans()
	})
}

// recordUnplanned records an unplanned fault from now until forUs later.
func (d *day) recordUnplanned(forUs clock.Micros) {
	t := &d.journal.Faults
	t.Unplanned = append(t.Unplanned, rules.Span{From: d.sim.now, To: d.sim.now + forUs})
}

// recordPlanned records planned work from now until forUs later.
func (d *day) recordPlanned(forUs clock.Micros) {
	t := &d.journal.Faults
	t.Planned = append(t.Planned, rules.Span{From: d.sim.now, To: d.sim.now + forUs})
}

// drainSome drains random backends, each after it has started a replacement for it.
func (d *day) drainSome(step *dayStep) {
	all := d.backends.of(orAll(step.service))
	if step.zone != "" {
		all = slices.DeleteFunc(all, func(inc *incarnation) bool { return inc.row.Zone != step.zone })
	}
	n := max(1, step.count, int(step.share*float64(len(all))))
	d.sim.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for i, inc := range all[:min(n, len(all))] {
		d.sim.after(int64(i)*step.gapUs/4, func() {
			if inc.up {
				d.backends.start(inc.shape, inc.row.Pool, inc.row.Zone)
				inc.drain()
			}
		})
	}
}

func orAll(service string) string {
	if service == "" {
		return "*"
	}
	return service
}
