// Random days on the users' platform: planned work, some of the faults that the platform's documentation lists, and
// a closing fault on half of the days.

package draw

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// oneZone is the site that has all machines and backends in one zone.
const oneZone = "one_zone"

// Sites holds the sites that drawn days use in turn.
var Sites = []string{"trust", "registry", "trust", "registry", "one_zone", "two_regions", "bare_zone", "one_backend", "ramped", "trust_grown", "registry_grown"}

func (d *drawing) f(least, most float64) float64 { return least + d.rnd.Float64()*(most-least) }

// DayScenario draws day number n. If site is empty, the days go through Sites in turn. The first planned work and the
// first fault of each day are taken from all kinds and modes in turn, by the day's number; all others are random.
func DayScenario(n uint64, site string) Scenario {
	if site == "" {
		site = Sites[int(n)%len(Sites)]
	}
	d := &drawing{rnd: rand.New(rand.NewPCG(n, 0x646179)), used: map[string]bool{}, site: site}
	var names []string
	first := func(from []dayKind, least, most float64) {
		k, turn := &from[n%uint64(len(from))], n/uint64(len(from))
		d.used[k.name] = true
		names = append(names, k.name)
		d.entry(k, k.drawInTurn(d, turn), d.f(least, most))
	}
	add := func(from []dayKind, least, most float64) {
		k := &from[d.n(len(from))]
		if k.name == "reshard" && d.used[k.name] {
			return
		}
		d.used[k.name] = true
		names = append(names, k.name)
		times := 1 + d.n(maxRepeats)
		if k.name == "reshard" {
			times = 1
		}
		for range times {
			d.entry(k, k.draw(d), d.f(least, most))
		}
	}
	first(planned, 1, 12)
	first(dayFaults, 2, 14)
	for range d.n(3) {
		add(planned, 1, 12)
	}
	for range d.n(4) {
		add(dayFaults, 2, 14)
	}
	head := []string{fmt.Sprintf("# Drawn day, number %d: %s.", n, strings.Join(names, ", ")), "set site " + site}
	if d.n(2) == 0 {
		head = append(head, "set closing "+[]string{"power_off_all", "kill_all", "wipe_after_ack"}[d.n(3)], "set closing_at_s 20", fmt.Sprintf("set down_ms %d", 400+d.n(1600)))
		if how := []string{"", "power", "timed", "taken"}[d.n(4)]; how != "" {
			head = append(head, "set closing_how "+how)
		}
	} else {
		head = append(head, "set seconds 24")
		d.at(16_000+d.n(3000), "config_change how=route")
	}
	return Scenario{Text: strings.Join(append(head, d.lines...), "\n") + "\n", Faults: names}
}

// maxRepeats is the greatest number of steps that one additional draw of a kind adds.
const maxRepeats = 2

// entry adds the line of a step at a time in seconds, and the steps that must accompany it.
func (d *drawing) entry(k *dayKind, line string, at float64) {
	ms := int(1000 * at)
	d.at(ms, "%s", line)
	switch {
	case k.name == "evacuate" && (d.n(2) == 0 || d.site == oneZone):
		// The only zone must be restored, because nothing can be served while it is drained.
		d.at(ms+7000, "take_back zone=z1%s", d.how("", "warm"))
	case k.name == "ack_lost", k.name == "resend":
		d.at(max(0, ms-300), "config_change how=route")
		d.at(ms+500, "config_race x=2")
		d.at(ms+1500, "evacuate zone=z2")
		d.at(ms+3500, "take_back zone=z2")
	case strings.HasPrefix(k.name, "after_ack"):
		d.at(ms+100, "config_change how=route")
	}
}

// how draws one of the modes and returns it as an argument, or "" for an empty mode.
func (d *drawing) how(all ...string) string {
	if v := all[d.n(len(all))]; v != "" {
		return " how=" + v
	}
	return ""
}
