// The kinds of faults of a day, with the ranges from which their arguments are drawn.

package draw

import "fmt"

var dayFaults = []dayKind{
	{name: "ack_lost", line: func(d *drawing) string { return fmt.Sprintf("x=%.1f for=%.1fs", d.f(0.4, 0.9), d.f(2, 8)) }},
	{name: "srv_crash", modes: []string{"", "dark", "gone", "across", "dark,across", "all", "dark,all"}, line: lasting(0.08, 0.2, 2, 5)},
	{name: "srv_slow", modes: []string{"", "across"}, line: func(d *drawing) string {
		return fmt.Sprintf("share=%.2f x=%.1f for=%.1fs", d.f(0.1, 0.3), d.f(3, 9), d.f(3, 7))
	}},
	{name: "srv_grey", modes: []string{"errors", "shed", "busy", "hang", "reset", "mute", "slow", "errors,one_zone", "across,hang", "all,mute"}, line: func(d *drawing) string {
		return fmt.Sprintf("share=%.2f x=%.2f for=%.1fs to_zone=z1", d.f(0.1, 0.3), d.f(0.2, 0.8), d.f(2, 6))
	}},
	{name: "srv_lying_health", modes: []string{"errors", "hang", "reset", "bad"}, line: lasting(0.1, 0.3, 2, 6)},
	{name: "srv_flap", line: func(d *drawing) string {
		return fmt.Sprintf("share=%.2f gap=%.1fs for=%.1fs", d.f(0.1, 0.2), d.f(0.5, 2), d.f(3, 7))
	}},
	{name: "idle_race", line: func(d *drawing) string {
		return fmt.Sprintf("share=%.2f x=%d for=%.1fs", d.f(0.3, 1), 100+d.n(500), d.f(2, 6))
	}},
	{name: "garble", modes: []string{"", "extra", "extra,late"}, line: func(d *drawing) string {
		return fmt.Sprintf("share=%.2f x=%.3f for=%.1fs", d.f(0.3, 0.6), d.f(0.01, 0.05), d.f(3, 6))
	}},
	{name: "answer_lost", line: func(d *drawing) string { return fmt.Sprintf("share=0.5 x=%.3f for=4s", d.f(0.02, 0.06)) }},
	{name: "replace_with_reuse", modes: []string{"", "drain", "dark"}, line: lasting(0.1, 0.2, 2, 5)},
	{name: "cold_return", modes: []string{"", "dark"}, line: during(1, 5)},
	{name: "node_kill", modes: []string{"", "power", "reader", "seed"}, hasFollowUp: true, line: lasting(0.1, 0.3, 1, 4)},
	{name: "node_kill", modes: []string{"", "leader", "power,leader", "power", "reader", "seed"}, hasFollowUp: true, line: func(d *drawing) string {
		return fmt.Sprintf("on=core for=%.1fs", d.f(0.5, 4))
	}},
	{name: "node_freeze", modes: []string{"", "leader"}, hasFollowUp: true, line: func(d *drawing) string { return fmt.Sprintf("on=core for=%.1fs", d.f(1, 5)) }},
	{name: "node_freeze", modes: []string{"", "reader"}, line: lasting(0.1, 0.3, 0.5, 5)},
	{name: "node_slow", modes: []string{"", "leader"}, hasFollowUp: true, line: func(d *drawing) string {
		return fmt.Sprintf("on=core x=%d for=%.1fs", 3+d.n(12), d.f(1, 6))
	}},
	{name: "node_slow", line: lasting(0.1, 0.3, 1, 6)},
	{name: "herd_kill", modes: []string{"", "power"}, line: func(d *drawing) string { return fmt.Sprintf("share=%.2f for=1s", d.f(0.3, 0.7)) }},
	{name: "herd_kill", modes: []string{"", "power", "taken"}, line: text("on=core for=1s")},
	{name: "after_ack_kill", modes: []string{"", "kill", "timed", "timed,kill", "taken"}, hasFollowUp: true, line: func(d *drawing) string {
		return fmt.Sprintf("count=%d for=%.1fs", 1+d.n(2), d.f(0.3, 4))
	}},
	{name: "after_ack_wipe", modes: []string{"", "timed", "taken"}, hasFollowUp: true, line: during(0.3, 4)},
	{name: "disk_stall", modes: []string{"", "leader"}, line: during(1, 5)},
	{name: "disk_full", modes: []string{"", "leader"}, line: during(1, 5)},
	{name: "disk_slow", modes: []string{"", "leader"}, line: func(d *drawing) string { return fmt.Sprintf("x=%d for=%.1fs", 5+d.n(100), d.f(1, 5)) }},
	{name: "clock_step", modes: []string{"", "leader", "ahead", "back"}, line: func(d *drawing) string {
		return fmt.Sprintf("share=%.2f x=%.0f for=%.1fs", d.f(0.2, 0.4), d.f(1000, 4000), d.f(3, 7))
	}},
	{name: "core_cut", modes: []string{
		"", "leader", "leader,one_way", "one_way", "reset", "refuse", "seeds", "seeds,leader", "both", "both,leader", "leader,reset",
	}, hasFollowUp: true, line: during(1, 20)},
	{name: "node_cut", modes: []string{"", "servers", "reset", "refuse"}, line: lasting(0.1, 0.25, 2, 6)},
	{name: "reset_conns", modes: []string{"", "leader"}, hasFollowUp: true, line: func(d *drawing) string {
		return fmt.Sprintf("share=%.2f x=%.2f", d.f(0.1, 0.5), d.f(0.3, 1)) + []string{"", " on=core"}[d.n(2)]
	}},
	{name: "zone_loss", hasFollowUp: true, line: during(1, 5)},
	{name: "zone_cut", modes: []string{"", "reset"}, hasFollowUp: true, line: during(1, 8)},
}
