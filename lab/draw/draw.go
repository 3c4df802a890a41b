package draw

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"

	"wallport/lab/fleet"
	"wallport/lab/script"
)

// Times of a drawn scenario, in milliseconds. The faults that the method during times begin from firstAt until
// lastAt and end by overAt.
const (
	firstAt = 14_000
	lastAt  = 22_000
	overAt  = 33_000
	// HealedAt is the time, some time after the last repair, by which the fleet must have healed.
	HealedAt = 45_000
	endAt    = 56_000
)

// Scenario is a random scenario and the names of its faults and planned work.
type Scenario struct {
	Text   string
	Faults []string
}

type drawing struct {
	rnd   *rand.Rand
	shape fleet.Shape
	lines []string
	used  map[string]bool
	// site is the name of the simulated layout of zones, pools and requests that a drawn day uses; empty for other
	// scenarios.
	site string
}

func (d *drawing) n(most int) int { return d.rnd.IntN(most) }

// during draws the start and the end of a fault that lasts from least to most milliseconds, but ends by overAt.
func (d *drawing) during(least, most int) (from, to int) {
	from = firstAt + d.n(lastAt-firstAt)
	return from, min(overAt, from+least+d.n(most-least+1))
}

func (d *drawing) at(ms int, text string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf("at %dms %s", ms, fmt.Sprintf(text, args...)))
}

// span adds the line that begins a fault and the line that ends it, from least to most milliseconds later.
func (d *drawing) span(least, most int, begin, end string) {
	from, to := d.during(least, most)
	d.at(from, "%s", begin)
	d.at(to, "%s", end)
}

func (d *drawing) core() string { return fmt.Sprintf("core-%d", d.n(d.shape.Cores)) }
func (d *drawing) node() string { return fmt.Sprintf("node-%d", d.n(d.shape.Nodes)) }
func (d *drawing) zone() string { return fmt.Sprintf("z%d", 1+d.n(d.shape.Zones)) }

// nodes draws n different nodes and returns their names, separated by spaces.
func (d *drawing) nodes(n int) string {
	var out []string
	for _, i := range d.rnd.Perm(d.shape.Nodes)[:n] {
		out = append(out, fmt.Sprintf("node-%d", i))
	}
	return strings.Join(out, " ")
}

// servers draws the names of n different servers of one shard, or of random shards if shard is negative.
func (d *drawing) servers(n, shard int) []string {
	var out []string
	for _, i := range d.rnd.Perm(d.shape.PerShard)[:n] {
		s := shard
		if s < 0 {
			s = d.n(d.shape.Shards)
		}
		out = append(out, fmt.Sprintf("c1-%d-%d", s, i))
	}
	return out
}

// FaultNames returns the sorted names of all kinds of faults.
func FaultNames() []string {
	var out []string
	for name := range faultKinds {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// FaultPairs returns the pairs of faults that may be combined.
func FaultPairs() [][2]string {
	var out [][2]string
	names := FaultNames()
	for i, a := range names {
		for _, b := range names[i:] {
			if a != b && compatible(a, b) {
				out = append(out, [2]string{a, b})
			}
		}
	}
	return out
}

// disks holds the faults that lose a disk. At most one disk of a replica group may be lost in a run, because losing
// a second one would lose the majority.
var disks = map[string]bool{"disk_lost": true, "core_replaced": true}

// discovery holds the faults of the endpoint list. They are not combined, because a failing list does not show that
// a server is leaving.
var discovery = map[string]bool{"platform_fails": true, "platform_empty": true, "servers_leave": true}

func compatible(a, b string) bool {
	return !(disks[a] && disks[b]) && !(discovery[a] && discovery[b])
}

// FleetScenario draws scenario number n. The first two faults go through all pairs in turn, and up to two more are
// random; every seventh scenario has only one fault.
func FleetScenario(n uint64, shape fleet.Shape, rate int) Scenario {
	d := &drawing{rnd: rand.New(rand.NewPCG(n, 0x64726177)), shape: shape, used: map[string]bool{}}
	pairs, names := FaultPairs(), FaultNames()
	// The pairs are shuffled so that any few hundred consecutive scenarios cover all kinds of faults.
	p := pairs[rand.New(rand.NewPCG(1, 1)).Perm(len(pairs))[int(n%uint64(len(pairs)))]]
	picked := []string{p[0], p[1]}
	for range d.n(3) {
		more := names[d.n(len(names))]
		fits := true
		for _, was := range picked {
			fits = fits && was != more && compatible(was, more)
		}
		if fits {
			picked = append(picked, more)
		}
	}
	if n%7 == 0 {
		picked = picked[:1]
	}
	for _, name := range picked {
		faultKinds[name](d)
	}
	d.operatorActions()
	head := []string{
		fmt.Sprintf("# Drawn, number %d: %s.", n, strings.Join(picked, ", ")),
		"set shape " + shape.Name, fmt.Sprintf("set seconds %d", endAt/1000), fmt.Sprintf("set rate %d", rate),
		"set repeat_percent 30", "set capacity 4000", "set callers_from_us 11000000", fmt.Sprintf("set healed_from_us %d", HealedAt*1000),
	}
	if d.n(2) == 0 {
		head = append(head, "set first_word yes")
	}
	return Scenario{Text: strings.Join(append(head, d.lines...), "\n") + "\n", Faults: picked}
}

// operatorActions draws what operators do during the faults: a series of edits, concurrent edits, a booking and a
// repeated edit.
func (d *drawing) operatorActions() {
	d.at(12_500+d.n(1000), "storm %d %d", 10+d.n(50), 300_000+d.n(500_000))
	for range d.n(3) {
		d.at(firstAt+d.n(overAt-firstAt), "race %d %s", 2+d.n(5), []string{"put", "rows"}[d.n(2)])
	}
	if d.n(2) == 0 {
		from := firstAt/1000 + 2 + d.n(10)
		d.at(12_000, "book class %s %d %d %d", []string{"search", "read", "part"}[d.n(3)], 10+d.n(30), from, from+8+d.n(12))
	}
	if d.n(3) == 0 {
		d.at(firstAt+d.n(overAt-firstAt), "retry-edit")
	}
}

// Shrink removes steps from a failing scenario as long as it keeps failing, and returns the shortest text that it
// finds.
func Shrink(text string, fails func(s *script.Script) bool) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	for again := true; again; {
		again = false
		for i := len(lines) - 1; i >= 0; i-- {
			if !strings.HasPrefix(lines[i], "at ") {
				continue
			}
			shorter := append(append([]string{}, lines[:i]...), lines[i+1:]...)
			s, err := script.Parse("shrunk", strings.Join(shorter, "\n"))
			if err == nil && fails(s) {
				lines, again = shorter, true
			}
		}
	}
	return strings.Join(lines, "\n") + "\n"
}
