// The kinds of faults of a fleet, each with the lines that inject it and, unless it is permanent, the lines that repair
// it.

package draw

import (
	"fmt"
	"strings"
)

var faultKinds = map[string]func(d *drawing){
	// Backends.
	"servers_crash": func(d *drawing) {
		for _, s := range d.servers(1+d.n(4), -1) {
			d.span(500, 5000, "server "+s+" kill", "server "+s+" boot")
		}
	},
	"servers_vanish": func(d *drawing) {
		for _, s := range d.servers(1+d.n(3), -1) {
			d.at(firstAt+d.n(8000), "server %s vanish", s)
		}
	},
	"server_slow": func(d *drawing) {
		s := d.servers(1, -1)[0]
		d.span(2000, 9000, fmt.Sprintf("server %s slow %d", s, 100_000+d.n(600_000)), "server "+s+" ok")
	},
	"shards_slow": func(d *drawing) {
		from, to := d.during(2000, 8000)
		for s := range 2 + d.n(d.shape.Shards-1) {
			d.at(from+d.n(500), "server c1-%d-* slow %d", s, 100_000+d.n(300_000))
			d.at(to, "server c1-%d-* ok", s)
		}
	},
	"servers_pause": func(d *drawing) {
		for _, s := range d.servers(2+d.n(4), -1) {
			d.span(300, 2500, "server "+s+" pause 500000", "server "+s+" ok")
		}
	},
	"servers_hang": func(d *drawing) {
		for _, s := range d.servers(1+d.n(3), -1) {
			d.span(1000, 6000, "server "+s+" hang", "server "+s+" ok")
		}
	},
	"servers_garbage": func(d *drawing) {
		for _, s := range d.servers(1+d.n(5), -1) {
			d.span(2000, 9000, "server "+s+" "+d.garbage(), "server "+s+" ok")
		}
	},
	"shard_garbage": func(d *drawing) {
		from, to := d.during(2000, 7000)
		for _, s := range d.servers(d.shape.PerShard*3/4, d.n(d.shape.Shards)) {
			d.at(from, "server %s %s", s, d.garbage())
			d.at(to, "server %s ok", s)
		}
	},
	"shard_down": func(d *drawing) {
		s := fmt.Sprintf("c1-%d-*", d.n(d.shape.Shards))
		d.span(1000, 6000, "server "+s+" kill", "server "+s+" boot")
	},
	"servers_leave": func(d *drawing) {
		for range 1 + d.n(3) {
			d.at(firstAt+d.n(12_000), "leave %s", strings.Join(d.servers(1+d.n(2), -1), " "))
		}
	},
	// Nodes.
	"node_dies":      func(d *drawing) { n := d.node(); d.span(200, 6000, "kill "+n, "restart "+n) },
	"herd_dies":      func(d *drawing) { n := d.nodes(d.shape.Nodes / 2); d.span(200, 5000, "kill "+n, "restart "+n) },
	"nodes_freeze":   func(d *drawing) { n := d.nodes(1 + d.n(3)); d.span(300, 8000, "freeze "+n, "thaw "+n) },
	"node_alone":     func(d *drawing) { n := d.node(); d.span(1000, 9000, "isolate "+n, "heal "+n) },
	"node_one_way":   func(d *drawing) { n := d.node(); d.span(1000, 8000, "one-way "+n+" *", "join "+n+" *") },
	"node_no_list":   func(d *drawing) { n := d.node(); d.span(2000, 9000, "cut-off "+n+" platform", "join "+n+" platform") },
	"nodes_rolled":   func(d *drawing) { d.roll("node", d.shape.Nodes, 4) },
	"zone_lost":      (*drawing).zoneLost,
	"zone_emptied":   func(d *drawing) { z := d.zone(); d.span(6000, 14_000, "zone empty "+z, "zone refill "+z) },
	"index_recut":    (*drawing).reshard,
	"everything":     func(d *drawing) { d.span(500, 3000, "lose-all", "start-all") },
	"seeds_swapped":  (*drawing).seeds,
	"network_slow":   func(d *drawing) { d.span(1000, 8000, fmt.Sprintf("delay %d", 5000+d.n(60_000)), "delay 0") },
	"frames_doubled": func(d *drawing) { d.span(2000, 9000, "doubles 30", "doubles 0") },
	"platform_fails": func(d *drawing) { d.span(1000, 9000, "platform fail", "platform ok") },
	"platform_empty": func(d *drawing) { d.span(1000, 9000, "platform empty", "platform ok") },
	// Cores and their disks.
	"owner_power":   func(d *drawing) { d.span(100, 5000, "power owner", "restart core-*") },
	"core_dies":     func(d *drawing) { c := d.core(); d.span(100, 6000, "kill "+c, "restart "+c) },
	"core_freezes":  func(d *drawing) { d.span(300, 8000, "freeze owner", "thaw core-*") },
	"core_alone":    func(d *drawing) { c := d.core(); d.span(500, 7000, "isolate "+c, "heal "+c) },
	"core_one_way":  func(d *drawing) { c := d.core(); d.span(500, 7000, "one-way "+c+" core-*", "join "+c+" core-*") },
	"core_split":    func(d *drawing) { c := d.core(); d.span(500, 7000, "cut-off "+c+" core-*", "join "+c+" core-*") },
	"cores_cut_off": func(d *drawing) { d.span(500, 7000, "cut-off core-* node-*", "join core-* node-*") },
	"cores_power":   func(d *drawing) { d.span(200, 4000, "power core-*", "restart core-*") },
	"cores_rolled":  func(d *drawing) { d.roll("core", d.shape.Cores, d.shape.Cores) },
	"disk_full":     func(d *drawing) { c := d.core(); d.span(1000, 8000, "disk "+c+" full", "disk "+c+" ok") },
	"disk_slow":     func(d *drawing) { c := d.core(); d.span(1000, 8000, "disk "+c+" slow 1500000", "disk "+c+" ok") },
	"disk_stalls":   func(d *drawing) { d.span(300, 7000, "disk owner stalled", "disk core-* ok") },
	"disk_lost":     (*drawing).diskLost,
	"core_replaced": func(d *drawing) { d.at(firstAt+d.n(8000), "replace-core %s", d.core()) },
	"core_clock": func(d *drawing) {
		c := d.core()
		s := d.skew()
		d.span(1000, 9000, fmt.Sprintf("clock %s %d", c, s), fmt.Sprintf("clock %s %d", c, -s))
	},
	"nodes_clock": func(d *drawing) { d.at(firstAt+d.n(9000), "clock node-* %d", d.skew()) },
	"core_far_from_2": func(d *drawing) {
		c := d.core()
		n := d.node()
		d.span(1000, 8000, "cut-off "+c+" "+n, "join "+c+" "+n)
	},
}

func (d *drawing) garbage() string {
	modes := []string{"garbage", "foreign", "truncate", "othercut", "unsorted", "flipped", "short", "othershard", "otherrecord", "wrongrecord", "undigested", "refuse"}
	return modes[d.n(len(modes))]
}

func (d *drawing) skew() int { return []int{3600, -3600, 86400, -7200, 9}[d.n(5)] }

// roll restarts up to most processes of a role gracefully, one every 3.6 s.
func (d *drawing) roll(role string, all, most int) {
	at := firstAt + d.n(3000)
	for _, i := range d.rnd.Perm(all)[:min(all, most)] {
		d.at(at, "term %s-%d", role, i)
		d.at(at+2800, "restart %s-%d", role, i)
		at += 3600
	}
}

func (d *drawing) zoneLost() {
	z := d.zone()
	from, to := d.during(2000, 9000)
	d.at(from, "power zone:%s", z)
	d.at(from, "server zone:%s kill", z)
	d.at(to, "server zone:%s boot", z)
	d.at(to, "restart zone:%s", z)
}

func (d *drawing) reshard() {
	at := firstAt + d.n(6000)
	d.at(at, "backends c2 6 %d", max(2, d.shape.PerShard*d.shape.Shards/6))
	d.at(at+500+d.n(2000), "cut c2 6")
	if d.n(3) == 0 {
		// Another operator switches back to the old shard map, possibly before the new one is in force.
		d.at(at+700+d.n(4000), "cut c1 %d", d.shape.Shards)
	}
}

func (d *drawing) seeds() {
	at := firstAt + d.n(4000)
	d.at(at, "seeds %s", d.nodes(3))
	n := d.nodes(2)
	d.at(at+500, "kill %s", n)
	d.at(at+1500+d.n(3000), "restart %s", n)
}

func (d *drawing) diskLost() {
	c := d.core()
	from, to := d.during(200, 4000)
	d.at(from, "power %s", c)
	d.at(from, "lose-disk %s", c)
	d.at(to, "restart %s", c)
}
