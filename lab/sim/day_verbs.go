// What a scenario can bring about on a day. Verbs are the troubles and the
// planned work as the platform's pages name them; arguments are NAME=VALUE.

package sim

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"wallport/lab/rules"
	"wallport/lab/script"
)

// dayStep is one step with its arguments.
type dayStep struct {
	verb, service, zone, on, how string
	toZone, class                string
	forUs, gapUs                 int64
	share, factor                float64
	count                        int
	// until is when planned work no longer waits for its moment.
	until int64
}

func parseDayStep(st script.Step) (e dayStep, err error) {
	e = dayStep{verb: st.Verb, forUs: 5_000_000, gapUs: 1_000_000, service: ""}
	for _, a := range st.Args {
		k, v, ok := strings.Cut(a, "=")
		if !ok {
			return e, fmt.Errorf("%q is not NAME=VALUE", a)
		}
		switch k {
		case "service":
			e.service = v
		case "zone":
			e.zone = v
		case "to_zone":
			e.toZone = v
		case "shifted":
			// Only the step's time differs: see shift.
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
			err = fmt.Errorf("no argument %q", k)
		}
		if err != nil {
			return e, err
		}
	}
	return e, nil
}

func (e *dayStep) has(word string) bool { return strings.Contains(" "+e.how+" ", " "+word+" ") }

// modes are the words of how.
func (e *dayStep) modes() []string { return strings.Fields(e.how) }

func (e *dayStep) shareOr(v float64) float64 {
	if e.share > 0 {
		return e.share
	}
	return v
}

func (e *dayStep) factorOr(v float64) float64 {
	if e.factor > 0 {
		return e.factor
	}
	return v
}

// plannedWork is work that operators and the platform bring about.
func (d *day) plannedWork(e *dayStep) bool {
	o := &d.commands
	switch e.verb {
	case "config_change":
		o.change(e.how)
	case "config_storm":
		n := e.count
		if n == 0 {
			n = int(e.forUs / e.gapUs)
		}
		for i := range n {
			how := []string{"idle", "route", "timeout", "weights", "idle", "invalid"}[i%6]
			d.world.after(int64(i)*e.gapUs, func() { o.change(how) })
		}
	case "config_race":
		for i := range max(1, e.count) {
			d.world.after(int64(i)*e.gapUs, func() { o.race(max(2, int(e.factor))) })
		}
	case "bad_config":
		o.sendBad(e)
	case "ack_lost":
		o.loseAcks(e)
	case "resend":
		o.resend(max(1, e.count))
	case "hup":
		d.rereadSettings(e)
	case "reshard":
		d.reshard(int64(e.factorOr(3) * 1e6))
	case "evacuate":
		o.evacuate(e.zone, true)
	case "take_back":
		for _, l := range d.backends.of("*") {
			// The zone's backends have turned cold shortly before.
			if l.row.Zone == e.zone && !e.has("warm") {
				l.restartSlowStart()
			}
		}
		d.backends.publish()
		o.evacuate(e.zone, false)
	case "drain":
		d.drainSome(e)
	case "roll_term":
		d.roll(e)
	case "seed_turnover":
		d.rotateSeeds()
	case "replace_core":
		d.replace(e)
	case "rate":
		d.clients.rate *= e.factorOr(1)
	default:
		return d.scaled(e) || d.commandFault(e)
	}
	return true
}

func (d *day) runStep(st script.Step) {
	e, err := parseDayStep(st)
	if err != nil {
		panic(fmt.Sprintf("%s:%d: %v", d.world.Script.Name, st.Line, err))
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
		wait = d.world.rng.Int64N(25_000)
	}
	d.world.after(wait, func() {
		if !d.backendFault(&e) && !d.machineFault(&e) {
			panic(fmt.Sprintf("%s:%d: no verb %q", d.world.Script.Name, st.Line, e.verb))
		}
		d.updateFaultSpans()
	})
}

// recordUnplanned notes an unplanned trouble for a while.
func (d *day) recordUnplanned(forUs int64) {
	t := &d.journal.Faults
	t.Unplanned = append(t.Unplanned, rules.Span{From: d.world.now, To: d.world.now + forUs})
}

// recordPlanned notes planned work for a while.
func (d *day) recordPlanned(forUs int64) {
	t := &d.journal.Faults
	t.Planned = append(t.Planned, rules.Span{From: d.world.now, To: d.world.now + forUs})
}

// drainSome lets backends leave in order, each replaced by a new one.
func (d *day) drainSome(e *dayStep) {
	all := d.backends.of(orAll(e.service))
	if e.zone != "" {
		all = slices.DeleteFunc(all, func(l *incarnation) bool { return l.row.Zone != e.zone })
	}
	n := max(1, e.count, int(e.share*float64(len(all))))
	d.world.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for i, l := range all[:min(n, len(all))] {
		d.world.after(int64(i)*e.gapUs/4, func() {
			if l.up {
				d.backends.start(l.shape, l.row.Pool, l.row.Zone)
				l.drain()
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
