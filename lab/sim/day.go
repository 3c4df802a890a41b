// A day on the users' platform: the product's kernels and request state machines run among simulated machines,
// backends, clients and operators that behave like those of the platform. Everything that is visible from outside
// is written to a journal, which package rules checks at the end. A scenario selects this mode by "set site NAME";
// its times count from the start of the traffic.

package sim

import (
	"fmt"
	"math"

	"wallport/lab/rules"
	"wallport/runtime/clock"
	"wallport/runtime/settings"
)

// trafficStartUs is the time from the start of the machines to the start of the traffic.
const trafficStartUs = 10 * clock.Second

type day struct {
	sim            *Simulation
	site           siteShape
	settings       settings.Settings
	journal        *rules.Journal
	machines       []*machine
	byName         map[string]*machine
	partitions     map[string]bool
	zonePartitions map[string]bool
	refusedLinks   map[string]bool
	listReader     *machine
	acceptHooks    []acceptHook
	seeds          []string
	publishedCores []publishedCoreList

	backends backends
	gateways map[*process]*gateway
	clients  clients
	commands commands
}

func newDay(sim *Simulation, name string) *day {
	site, ok := siteOf(name)
	if !ok {
		panic(fmt.Sprintf("%s: unknown site %q", sim.Script.Name, name))
	}
	d := &day{sim: sim, site: site, byName: map[string]*machine{}, partitions: map[string]bool{}, zonePartitions: map[string]bool{}, refusedLinks: map[string]bool{}, gateways: map[*process]*gateway{}}
	b := rules.Bounds{
		ContactUs: 4 * clock.Second, AckUs: 5 * clock.Second, DrainUs: 3 * clock.Second, GraceUs: 6 * clock.Second, LossUs: 200 * clock.Millisecond, ApplyUs: 3 * clock.Second,
		StretchUs: 12 * clock.Second, EvacuateUs: 5 * clock.Second, RecoverUs: 12 * clock.Second, RetryRatio: 0.2, RetryAllowance: site.allowance,
		RetryWindowUs: 10 * clock.Second, SlowStartOverrun: 1.5, SlowStartTolerance: 5,
	}
	d.journal = &rules.Journal{Bounds: b}
	d.settings = settings.Settings{
		FleetSecret: "sim", PlatformURL: "http://platform/list", PollsPer10s: 440, ListInterval: clock.Second, LogLevel: "info",
		BootstrapKnown: true, Bootstrap: true, Tolerance: settings.Tolerance{Machines: site.tolerance[0], Zones: site.tolerance[1]},
		Machine: settings.Machine{CPUShare: 0.4, MemoryMB: 284, MaxFds: 4100, LinkMbps: 1000, DiskMB: 64},
		Bounds: settings.Bounds{
			DrainTimeout: b.DrainUs, GracePeriod: b.GraceUs, ConfigApply: b.ApplyUs, ZoneDrain: b.EvacuateUs, AckTimeout: b.AckUs, ContactTime: b.ContactUs,
			SyncTime: 4 * clock.Second, AddressReuse: addressReuseUs, LossSlack: b.LossUs, RecoveryTime: b.RecoverUs, SeedLag: 3 * clock.Second, ListLag: listLagUs,
		},
		Retries:   settings.Retries{Ratio: b.RetryRatio, Allowance: b.RetryAllowance, Window: b.RetryWindowUs},
		SlowStart: settings.SlowStart{Overrun: b.SlowStartOverrun, Tolerance: b.SlowStartTolerance},
	}
	d.backends.init(d)
	d.clients.init(d)
	d.commands.init(d)
	return d
}

// end returns the simulated time at which the day ends. After a closing fault the traffic continues for 20 s, so that
// the recovery is part of the day.
func (d *day) end() clock.Micros {
	s := d.sim.Script.Int("seconds", 24)
	if at := d.sim.Script.Int("closing_at_s", 0); at > 0 {
		s = at + 20
	}
	return trafficStartUs + s*clock.Second
}

// simTime converts a time of the scenario, which counts from the start of the traffic, to simulated time.
func (d *day) simTime(at clock.Micros) clock.Micros { return trafficStartUs + at }

func (d *day) build() {
	sim := d.sim
	d.buildMachines()
	d.backends.begin()
	for _, m := range d.machines {
		sim.after(sim.rng.Int64N(200*clock.Millisecond), m.start)
	}
	sim.after(clock.Second, func() { d.settings.Bootstrap = false })
	for _, st := range sim.Script.Steps {
		sim.at(d.simTime(st.At)+sim.scheduledDelay(st), func() {
			sim.logEvent("step " + st.Verb + " " + fmt.Sprint(st.Args))
			sim.Checker.Count("steps", 1)
			d.runStep(st)
		})
	}
	d.commands.begin()
	d.clients.begin()
	if at := sim.Script.Int("closing_at_s", 0); at > 0 {
		sim.at(d.simTime(at*clock.Second), func() { d.scheduleClosingFault(sim.now) })
	}
	sim.at(100*clock.Millisecond, d.sample)
}

// sample runs ten times a second. It updates the fault spans and records in the journal which configuration each
// running node has in force.
func (d *day) sample() {
	d.sim.after(100*clock.Millisecond, d.sample)
	d.updateFaultSpans()
	for _, m := range d.machines {
		p := m.node
		if !p.running() {
			continue
		}
		if cp := p.snapshots.Current(); cp != nil && cp.Routing != nil {
			d.journal.InForce = append(d.journal.InForce, rules.InForce{Machine: m.name, Incarnation: p.incarnation, At: d.sim.now, Revision: cp.Routing.Revision})
		}
	}
}

// finish checks the day's journal and copies the findings and counts into the simulation's checker.
func (d *day) finish() {
	j, checker := d.journal, d.sim.Checker
	j.End = d.sim.now
	d.clients.finish()
	d.commands.finish()
	if c := j.FinalFault; c != nil {
		j.Drained = map[string][]string{}
		for _, m := range d.machines {
			if p := m.node; p.running() && p.snapshots.Current() != nil {
				j.Drained[m.name] = p.snapshots.Current().Config.DrainedZones
			}
		}
	}
	j.Check()
	for _, f := range j.Findings {
		checker.Fail(f.Rule, f.At, "%s", f.Text)
	}
	for rule, n := range j.Broken {
		checker.Count("broken."+rule, n)
	}
	for rule, n := range j.Tested {
		checker.Tested[rule] += n
	}
	for _, m := range d.machines {
		for _, p := range m.processes() {
			if p.kernel != nil {
				p.kernel.Counts.Each(func(name string, n int64) { checker.Count("sum."+name, n) })
			}
		}
	}
}

// latency draws the one-way network latency between two zones: 100 us within a zone, 500 us within a region or 12 ms
// between regions, plus a random part below the sum of a quarter of that value and 40 us.
func (d *day) latency(a, b string) clock.Micros {
	us := int64(100)
	switch {
	case a == b:
	case d.region(a) != d.region(b):
		us = 12 * clock.Millisecond
	default:
		us = 500
	}
	return us + d.sim.rng.Int64N(us/4+40)
}

func (d *day) region(zone string) string {
	for _, z := range d.site.zones {
		if z.name == zone {
			return z.region
		}
	}
	return ""
}

// drawLogNormal draws a positive, log-normally distributed value with the given mean; sigma is its shape parameter.
func (d *day) drawLogNormal(mean clock.Micros, sigma float64) clock.Micros {
	x := math.Exp(sigma*d.sim.rng.NormFloat64() - sigma*sigma/2)
	return max(1, int64(float64(mean)*x))
}

// drawWork draws how long a backend works on one request of a kind: log-normal, four times as long for tailPct
// percent of the requests, and at most six times the mean.
func (d *day) drawWork(kind *requestShape) clock.Micros {
	us := d.drawLogNormal(kind.workUs, 0.45)
	if d.sim.rng.IntN(100) < kind.tailPct {
		us *= 4
	}
	return min(us, 6*kind.workUs)
}
