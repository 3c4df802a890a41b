// The kinds of planned work of a day, as the platform lists them, each with its modes; and the functions that draw the
// scenario line of a step. The kinds of faults are in day_faults.go.

package draw

import (
	"fmt"
	"slices"
	"strings"
)

// dayKind is a kind of step: its modes, of which one is drawn, and the function that draws its other arguments.
type dayKind struct {
	name  string
	modes []string
	// hasFollowUp allows a follow-up to the step: a change that is sent to the affected machine, or a drain of backends
	// in its zone.
	hasFollowUp bool
	line        func(d *drawing) string
}

// followUps holds the modes of follow-ups, which begin when a machine returns or while it is partitioned. An empty
// entry means that there is no follow-up.
var followUps = []string{"", "", "meet", "race", "hard", "hard,race", "drain", "meet,drain"}

func text(s string) func(d *drawing) string { return func(*drawing) string { return s } }

// lasting draws a share of the targets and a duration in seconds.
func lasting(shareLeast, shareMost, least, most float64) func(d *drawing) string {
	return func(d *drawing) string {
		return fmt.Sprintf("share=%.2f for=%.1fs", d.f(shareLeast, shareMost), d.f(least, most))
	}
}

// during draws a duration in seconds.
func during(least, most float64) func(d *drawing) string {
	return func(d *drawing) string { return fmt.Sprintf("for=%.1fs", d.f(least, most)) }
}

// drawInTurn returns a step's line. The number turn selects the mode and the follow-up, both modulo their count.
func (k *dayKind) drawInTurn(d *drawing, turn uint64) string {
	return k.lineWith(d, int(turn), int(turn))
}

// draw returns a step's line with a random mode and a random follow-up.
func (k *dayKind) draw(d *drawing) string {
	return k.lineWith(d, d.n(max(1, len(k.modes))), d.n(len(followUps)))
}

func (k *dayKind) lineWith(d *drawing, mode, followUp int) string {
	line := k.name
	if k.line != nil {
		line += " " + k.line(d)
	}
	var how []string
	if len(k.modes) > 0 {
		how = append(how, k.modes[mode%len(k.modes)])
	}
	if k.hasFollowUp {
		how = append(how, followUps[followUp%len(followUps)])
	}
	how = slices.DeleteFunc(how, func(s string) bool { return s == "" })
	if len(how) > 0 {
		line += " how=" + strings.Join(how, ",")
	}
	return line
}

var planned = []dayKind{
	{name: "config_change", modes: []string{"route", "idle", "timeout", "weights", "invalid", "twice", "extreme"}},
	{name: "config_race", line: func(d *drawing) string {
		return fmt.Sprintf("count=%d gap=%.2fs x=%d", 1+d.n(3), d.f(0.6, 1.6), 2+d.n(3))
	}},
	{name: "config_storm", line: func(d *drawing) string { return fmt.Sprintf("for=4s gap=%.2fs", d.f(0.1, 0.4)) }},
	{name: "roll_term", modes: []string{"", "busy", "remove"}, hasFollowUp: true, line: func(d *drawing) string {
		return fmt.Sprintf("share=%.2f x=1 gap=%.2fs", d.f(0.2, 1), d.f(0.8, 1.6))
	}},
	{name: "seed_turnover"},
	{name: "reshard", line: func(d *drawing) string { return fmt.Sprintf("x=%.1f", d.f(3, 4)) }},
	{name: "drain", line: func(d *drawing) string { return fmt.Sprintf("count=%d gap=1s", 1+d.n(5)) }},
	{name: "replace_core", modes: []string{"", "term", "planned"}, line: func(d *drawing) string { return fmt.Sprintf("x=%.1f", d.f(0.5, 2)) }},
	{name: "evacuate", line: text("zone=z1")},
	{name: "hup", line: func(d *drawing) string { return fmt.Sprintf("share=%.2f gap=%.1fs", d.f(0.2, 1), d.f(0.1, 2)) }},
	{name: "release", line: func(d *drawing) string {
		return fmt.Sprintf("share=%.2f x=%d gap=%.1fs", d.f(0.2, 0.6), 1+d.n(3), d.f(0.3, 1))
	}},
	{name: "scale_out", line: func(d *drawing) string { return fmt.Sprintf("share=%.2f gap=%.1fs", d.f(0.1, 0.4), d.f(0.2, 2)) }},
	{name: "scale_in", modes: []string{"", "spot"}, line: func(d *drawing) string { return fmt.Sprintf("share=%.2f x=%.1f", d.f(0.1, 0.2), d.f(1, 3)) }},
	{name: "bad_config", modes: []string{
		"", "cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "same_version", "stale_match", "shared_key",
	}, line: func(d *drawing) string { return fmt.Sprintf("count=%d gap=%.1fs", 1+d.n(5), d.f(0.1, 1)) }},
	{name: "resend", line: func(d *drawing) string { return fmt.Sprintf("count=%d", 1+d.n(6)) }},
	{name: "burst", line: func(d *drawing) string {
		return fmt.Sprintf("x=%.1f for=%.1fs", d.f(2, 5), d.f(1, 4)) + []string{"", " zone=z1"}[d.n(2)]
	}},
	{name: "retry_abuse", line: func(d *drawing) string {
		return fmt.Sprintf("share=%.2f x=%d for=%.1fs", d.f(0.2, 0.8), 1+d.n(4), d.f(2, 6))
	}},
}

// DayKinds returns the names of all kinds of steps, and their modes as KIND.MODE.
func DayKinds() (kinds, modes []string) {
	for _, k := range slices.Concat(planned, dayFaults) {
		kinds = append(kinds, k.name)
		for _, mode := range k.modes {
			for w := range strings.SplitSeq(mode, ",") {
				if w != "" {
					modes = append(modes, k.name+"."+w)
				}
			}
		}
		for _, mode := range followUps {
			if k.hasFollowUp && mode != "" && !strings.Contains(mode, ",") {
				modes = append(modes, k.name+"."+mode)
			}
		}
	}
	slices.Sort(kinds)
	slices.Sort(modes)
	return slices.Compact(kinds), slices.Compact(modes)
}
