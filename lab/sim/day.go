// A day on the users' platform: the product's own kernels and request charts
// among simulated machines, backends, clients and operators that keep to the
// platform's manner. All that is seen from outside goes into a journal, which
// the rules judge at the end. A scenario asks for a day by "set site NAME"; its
// times count from the begin of the traffic.

package sim

import (
	"fmt"
	"math"

	"wallport/lab/rules"
	"wallport/runtime/settings"
)

// leadUs is from the start of the machines to the begin of the traffic.
const leadUs = 10_000_000

type day struct {
	w        *World
	site     siteShape
	env      settings.Settings
	journal  *rules.Journal
	machines []*machine
	byName   map[string]*machine
	cuts     map[string]bool
	cutOff   map[string]bool
	zoneCuts map[string]bool
	refused  map[string]bool
	reader   *machine
	takes    []armedTake
	seedList []string
	shownAt  []shownCores

	backends backends
	gates    map[*proc]*gate
	clients  clients
	oper     orders
}

func newDay(w *World, name string) *day {
	site, ok := siteOf(name)
	if !ok {
		panic(fmt.Sprintf("%s: no site %q", w.Script.Name, name))
	}
	d := &day{w: w, site: site, byName: map[string]*machine{}, cuts: map[string]bool{}, cutOff: map[string]bool{}, zoneCuts: map[string]bool{}, refused: map[string]bool{}, gates: map[*proc]*gate{}}
	b := rules.Bounds{
		ContactUs: 4_000_000, AckUs: 5_000_000, DrainUs: 3_000_000, GraceUs: 6_000_000, LossUs: 200_000, ApplyUs: 3_000_000,
		StretchUs: 12_000_000, EmptyUs: 5_000_000, RecoverUs: 12_000_000, RetryRatio: 0.2, RetryAllowance: site.allowance,
		RetryWindowUs: 10_000_000, RampOverrun: 1.5, RampTolerance: 5,
	}
	d.journal = &rules.Journal{Bounds: b}
	d.env = settings.Settings{
		FleetSecret: "sim", PlatformURL: "http://platform/list", PollsPer10s: 440, ListInterval: 1_000_000, LogLevel: "info",
		BootstrapKnown: true, Bootstrap: true, Tolerance: settings.Tolerance{Machines: site.tolerance[0], Zones: site.tolerance[1]},
		Machine: settings.Machine{CPUShare: 0.4, MemoryMB: 284, MaxFds: 4100, LinkMbps: 1000, DiskMB: 64},
		Bounds: settings.Bounds{
			DrainTimeout: b.DrainUs, GracePeriod: b.GraceUs, ConfigApply: b.ApplyUs, ZoneDrain: b.EmptyUs, AckTimeout: b.AckUs, ContactTime: b.ContactUs,
			SyncTime: 4_000_000, AddressReuse: reuseUs, LossSlack: b.LossUs, RecoveryTime: b.RecoverUs, SeedLag: 3_000_000, ListLag: listLagUs,
		},
		Retries:   settings.Retries{Ratio: b.RetryRatio, Allowance: b.RetryAllowance, Window: b.RetryWindowUs},
		SlowStart: settings.SlowStart{Overrun: b.RampOverrun, Tolerance: b.RampTolerance},
	}
	d.backends.init(d)
	d.clients.init(d)
	d.oper.init(d)
	return d
}

// end is when the day ends, on the world's clock: after a closing fault traffic goes on through the recovery.
func (d *day) end() int64 {
	s := d.w.Script.Int("seconds", 24)
	if at := d.w.Script.Int("closing_at_s", 0); at > 0 {
		s = at + 20
	}
	return leadUs + s*1_000_000
}

// traffic is the world's clock as the scenario counts it.
func (d *day) traffic(at int64) int64 { return leadUs + at }

func (d *day) build() {
	w := d.w
	d.buildMachines()
	d.backends.begin()
	for _, m := range d.machines {
		w.after(w.rnd.Int64N(200_000), m.start)
	}
	w.after(1_000_000, func() { d.env.Bootstrap = false })
	for _, st := range w.Script.Steps {
		w.at(d.traffic(st.At)+w.shift(st), func() {
			w.note("step " + st.Verb + " " + fmt.Sprint(st.Args))
			w.Judge.Count("steps", 1)
			d.do(st)
		})
	}
	d.oper.begin()
	d.clients.begin()
	if at := w.Script.Int("closing_at_s", 0); at > 0 {
		w.at(d.traffic(at*1_000_000), func() { d.close(w.now) })
	}
	w.at(100_000, d.sample)
}

// sample looks ten times a second at what every node has in force.
func (d *day) sample() {
	d.w.after(100_000, d.sample)
	d.look()
	for _, m := range d.machines {
		p := m.node
		if !p.runs() {
			continue
		}
		if cp := p.table.Current(); cp != nil && cp.Routing != nil {
			d.journal.InForce = append(d.journal.InForce, rules.InForce{Machine: m.name, Life: p.life, At: d.w.now, Revision: cp.Routing.Revision})
		}
	}
}

// finish judges the day.
func (d *day) finish() {
	j, judge := d.journal, d.w.Judge
	j.End = d.w.now
	d.clients.finish()
	d.oper.finish()
	if c := j.Closing; c != nil {
		j.Emptied = map[string][]string{}
		for _, m := range d.machines {
			if p := m.node; p.runs() && p.table.Current() != nil {
				j.Emptied[m.name] = p.table.Current().Config.DrainedZones
			}
		}
	}
	j.Judge()
	for _, f := range j.Findings {
		judge.Fail(f.Rule, f.At, "%s", f.Text)
	}
	for rule, n := range j.Broken {
		judge.Count("broken."+rule, n)
	}
	for rule, n := range j.Tested {
		judge.Tested[rule] += n
	}
	for _, m := range d.machines {
		for _, p := range m.procs() {
			if p.kernel != nil {
				p.kernel.Counts.Each(func(name string, n int64) { judge.Count("sum."+name, n) })
			}
		}
	}
}

// latency is the way from one zone to another.
func (d *day) latency(a, b string) int64 {
	us := int64(100)
	switch {
	case a == b:
	case d.region(a) != d.region(b):
		us = 12_000
	default:
		us = 500
	}
	return us + d.w.rnd.Int64N(us/4+40)
}

func (d *day) region(zone string) string {
	for _, z := range d.site.zones {
		if z.name == zone {
			return z.region
		}
	}
	return ""
}

// spread draws a positive figure around a mean.
func (d *day) spread(mean int64, share float64) int64 {
	x := math.Exp(share*d.w.rnd.NormFloat64() - share*share/2)
	return max(1, int64(float64(mean)*x))
}

// work is what one request of a kind takes at a backend.
func (d *day) work(k *kindShape) int64 {
	us := d.spread(k.workUs, 0.45)
	if d.w.rnd.IntN(100) < k.tailPct {
		us *= 4
	}
	return min(us, 6*k.workUs)
}
