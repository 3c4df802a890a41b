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

// entry is one step with its arguments.
type entry struct {
	verb, service, zone, on, how string
	toZone, class                string
	forUs, gapUs                 int64
	share, x                     float64
	count                        int
	// until is when planned work no longer waits for its moment.
	until int64
}

func read(st script.Step) (e entry, err error) {
	e = entry{verb: st.Verb, forUs: 5_000_000, gapUs: 1_000_000, service: ""}
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
			e.x, err = strconv.ParseFloat(v, 64)
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

func (e *entry) is(word string) bool { return strings.Contains(" "+e.how+" ", " "+word+" ") }

// ways are the words of how.
func (e *entry) ways() []string { return strings.Fields(e.how) }

func (e *entry) shareOr(v float64) float64 {
	if e.share > 0 {
		return e.share
	}
	return v
}

func (e *entry) xOr(v float64) float64 {
	if e.x > 0 {
		return e.x
	}
	return v
}

// planned is work that operators and the platform bring about.
func (d *day) planned(e *entry) bool {
	o := &d.oper
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
			d.w.after(int64(i)*e.gapUs, func() { o.change(how) })
		}
	case "config_race":
		for i := range max(1, e.count) {
			d.w.after(int64(i)*e.gapUs, func() { o.race(max(2, int(e.x))) })
		}
	case "bad_config":
		o.bad(e)
	case "ack_lost":
		o.loseAcks(e)
	case "resend":
		o.resend(max(1, e.count))
	case "hup":
		d.hup(e)
	case "reshard":
		d.reshard(int64(e.xOr(3) * 1e6))
	case "evacuate":
		o.evacuate(e.zone, true)
	case "take_back":
		for _, l := range d.backends.of("*") {
			// The zone's backends have turned cold shortly before.
			if l.row.Zone == e.zone && !e.is("warm") {
				l.chill()
			}
		}
		d.backends.publish()
		o.evacuate(e.zone, false)
	case "drain":
		d.drainSome(e)
	case "roll_term":
		d.roll(e)
	case "seed_turnover":
		d.turnSeeds()
	case "replace_core":
		d.replace(e)
	case "rate":
		d.clients.rate *= e.xOr(1)
	default:
		return d.scaled(e) || d.mishap(e)
	}
	return true
}

func (d *day) do(st script.Step) {
	e, err := read(st)
	if err != nil {
		panic(fmt.Sprintf("%s:%d: %v", d.w.Script.Name, st.Line, err))
	}
	d.note(&e)
	if d.planned(&e) {
		d.look()
		return
	}
	if e.is("race") {
		d.oper.race(2)
	}
	if e.is("meet") {
		d.oper.change("route")
	}
	if e.is("drain") {
		d.drainSome(&entry{count: 2})
	}
	wait := int64(0)
	if e.is("race") || e.is("meet") {
		wait = d.w.rnd.Int64N(25_000)
	}
	d.w.after(wait, func() {
		if !d.serverTrouble(&e) && !d.machineTrouble(&e) {
			panic(fmt.Sprintf("%s:%d: no verb %q", d.w.Script.Name, st.Line, e.verb))
		}
		d.look()
	})
}

// trouble notes an unplanned trouble for a while.
func (d *day) trouble(forUs int64) {
	t := &d.journal.Touch
	t.Unplanned = append(t.Unplanned, rules.Span{From: d.w.now, To: d.w.now + forUs})
}

// planFor notes planned work for a while.
func (d *day) planFor(forUs int64) {
	t := &d.journal.Touch
	t.Planned = append(t.Planned, rules.Span{From: d.w.now, To: d.w.now + forUs})
}

// drainSome lets backends leave in order, each replaced by a new one.
func (d *day) drainSome(e *entry) {
	all := d.backends.of(orAll(e.service))
	if e.zone != "" {
		all = slices.DeleteFunc(all, func(l *life) bool { return l.row.Zone != e.zone })
	}
	n := max(1, e.count, int(e.share*float64(len(all))))
	d.w.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for i, l := range all[:min(n, len(all))] {
		d.w.after(int64(i)*e.gapUs/4, func() {
			if l.up {
				d.backends.start(l.shape, l.row.Pool, l.row.Zone)
				l.leave()
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
