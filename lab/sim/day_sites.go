// The sites of days on the users' platform: machines, pools and kinds of requests of the platform's two small sites
// (trust and registry), and variants of them that stress particular conditions.

package sim

import "wallport/runtime/clock"

// zoneShape is a zone. Of its machines, numbered from 1, only those up to the number disks have a disk. weight is
// proportional to the zone's share of the traffic.
type zoneShape struct {
	name, region    string
	machines, disks int
	weight          float64
}

// poolShape is a service: one pool, or one pool for each of its shards. afterReshard marks the set of shards that a
// reshard switches to.
type poolShape struct {
	name          string
	shards        int
	perZone       []int
	slots, queue  int
	connections   int64
	pauseUs       clock.Micros
	slowStartPerS float64
	afterReshard  bool
}

// requestShape is a kind of requests. value is the credit for a response within targetUs, lateValue the credit for a
// later response.
type requestShape struct {
	name, pool, also             string
	perSecond                    float64
	workUs, targetUs, deadlineUs clock.Micros
	tailPct                      int
	value, lateValue             float64
	repeatable                   bool
	backends, priority           int32
	records                      int32
	coverage                     float64
	responseBytes, bodyBytes     int
	retries                      int
}

type siteShape struct {
	name      string
	zones     []zoneShape
	pools     []poolShape
	kinds     []requestShape
	syncUs    clock.Micros
	clientUs  clock.Micros
	allowance float64
	tolerance [2]int
	coreShare float64
}

func shards(name, afterReshard string, n, m, slots int, conns, pause int64, perZone ...int) []poolShape {
	p := poolShape{name: name, shards: n, perZone: perZone, slots: slots, queue: 4 * slots, connections: conns, pauseUs: pause}
	q := p
	q.name, q.shards, q.afterReshard = afterReshard, m, true
	return []poolShape{p, q}
}

func single(name string, slots int, conns int64, perZone ...int) poolShape {
	return poolShape{name: name, perZone: perZone, slots: slots, queue: 4 * slots, connections: conns}
}

// trustKinds are the kinds of requests of a music score service, registryKinds those of a register of tenancies.
func trustKinds() []requestShape {
	return []requestShape{
		{name: "score-query", pool: "lookup", also: "catalog", perSecond: 255, workUs: 7500, tailPct: 2, targetUs: 80 * clock.Millisecond, deadlineUs: 400 * clock.Millisecond, value: 2, lateValue: 0.6, repeatable: true, backends: 2, priority: 1, records: 20, coverage: 0.75, responseBytes: 640, retries: 1},
		{name: "incipit-probe", pool: "lookup", also: "catalog", perSecond: 102, workUs: 2500, tailPct: 2, targetUs: 40 * clock.Millisecond, deadlineUs: 250 * clock.Millisecond, value: 1, lateValue: 0.3, repeatable: true, backends: 2, priority: 2, records: 5, coverage: 0.5, responseBytes: 160, retries: 1},
		{name: "part-fetch", pool: "engrave", also: "archive", perSecond: 153, workUs: 60 * clock.Millisecond, targetUs: 250 * clock.Millisecond, deadlineUs: 1500 * clock.Millisecond, value: 3, lateValue: 0.3, backends: 1, responseBytes: 48, bodyBytes: 24, retries: 1},
		{name: "credits-lookup", pool: "engrave", also: "archive", perSecond: 25.5, workUs: 60 * clock.Millisecond, targetUs: 250 * clock.Millisecond, deadlineUs: 1500 * clock.Millisecond, value: 1, lateValue: 0.3, repeatable: true, backends: 2, priority: 2, responseBytes: 48, retries: 1},
	}
}

func registryKinds() []requestShape {
	return []requestShape{
		{name: "full-screen", pool: "screening", also: "portal", perSecond: 255, workUs: 15 * clock.Millisecond, tailPct: 2, targetUs: 120 * clock.Millisecond, deadlineUs: 1200 * clock.Millisecond, value: 2, lateValue: 1, repeatable: true, backends: 2, priority: 1, records: 20, coverage: 0.75, responseBytes: 640, retries: 1},
		{name: "quick-check", pool: "screening", also: "portal", perSecond: 102, workUs: 5000, tailPct: 2, targetUs: 60 * clock.Millisecond, deadlineUs: 600 * clock.Millisecond, value: 1, lateValue: 0.5, repeatable: true, backends: 2, priority: 2, records: 5, coverage: 0.5, responseBytes: 160, retries: 1},
		{name: "record-fix", pool: "dispute", also: "notices", perSecond: 153, workUs: 120 * clock.Millisecond, targetUs: 500 * clock.Millisecond, deadlineUs: 5 * clock.Second, value: 3, lateValue: 0.5, backends: 1, responseBytes: 48, bodyBytes: 24, retries: 1},
		{name: "file-view", pool: "dispute", also: "notices", perSecond: 25.5, workUs: 120 * clock.Millisecond, targetUs: 500 * clock.Millisecond, deadlineUs: 5 * clock.Second, value: 1, lateValue: 0.5, repeatable: true, backends: 2, priority: 2, responseBytes: 48, retries: 1},
	}
}

func trustSite() siteShape {
	return siteShape{
		zones: []zoneShape{
			{"z1", "r1", 3, 1, 122}, {"z2", "r1", 3, 1, 119}, {"z3", "r1", 3, 1, 151}, {"z4", "r1", 2, 1, 144},
		},
		pools: append(shards("lookup", "catalog", 4, 6, 2, 69, 40*clock.Millisecond, 1, 1, 1, 1),
			single("engrave", 6, 110, 1, 1, 1, 1), single("archive", 6, 110, 1, 1, 1, 1)),
		kinds: trustKinds(), syncUs: 2000, clientUs: 3000, allowance: 62, tolerance: [2]int{1, 1}, coreShare: 0.08,
	}
}

func registrySite() siteShape {
	return siteShape{
		zones: []zoneShape{{"z1", "r1", 4, 1, 180}, {"z2", "r1", 3, 1, 180}, {"z3", "r1", 3, 1, 175}},
		pools: append(shards("screening", "portal", 4, 6, 3, 80, 48*clock.Millisecond, 2, 1, 1),
			single("dispute", 3, 120, 7, 6, 6), single("notices", 3, 120, 3, 3, 3)),
		kinds: registryKinds(), syncUs: 5000, clientUs: 1000, allowance: 60, tolerance: [2]int{1, 1}, coreShare: 0.08,
	}
}

// siteOf returns a site by its name. All sites but trust and registry are variants for tests.
func siteOf(name string) (siteShape, bool) {
	s := trustSite()
	switch name {
	case "trust":
	case "registry":
		s = registrySite()
	case "one_zone":
		// All machines and backends are in one zone, so that only single machines can be lost.
		s.zones = []zoneShape{{"z1", "r1", 13, 3, 1}}
		for i := range s.pools {
			s.pools[i].perZone = []int{4}
		}
		s.tolerance, s.coreShare = [2]int{1, 0}, 0.2
	case "two_regions":
		s.zones[2].region, s.zones[3].region = "r2", "r2"
		for i := range s.kinds {
			// Three backends per request allow even a request that may run only once to be sent to another backend
			// if it has not run.
			s.kinds[i].backends = 3
		}
	case "one_backend":
		// Each shard has only one backend, so that its requests have no alternative backend. The backends of the shards
		// are spread over the zones.
		for i := range s.pools {
			s.pools[i].perZone = []int{1, 0, 0, 0}
			if s.pools[i].shards == 0 {
				s.pools[i].perZone = []int{1, 1, 0, 0}
			}
			s.pools[i].slots, s.pools[i].queue = 8, 32
		}
	case "forty_shards":
		s.pools[0].shards, s.pools[1].shards = 40, 44
	case "bare_zone":
		// One zone has no disk; its core is not a voter.
		s.zones[3].disks = 0
	case "two_a_zone":
		// Eight machines have a disk, two in each zone. Two of them may be lost at the same time.
		for i := range s.zones {
			s.zones[i].machines, s.zones[i].disks = 4, 2
		}
		s.tolerance, s.coreShare = [2]int{2, 1}, 0.5
	case "trust_grown":
		s.grow()
	case "registry_grown":
		s = registrySite()
		s.zones = append(s.zones, zoneShape{"z4", "r1", 3, 1, 175})
		s.grow()
	case "ramped":
		for i := range s.pools {
			s.pools[i].slowStartPerS = 20
		}
	default:
		return s, false
	}
	s.name = name
	return s, true
}

// Sizes of a grown site. A grown deployment of the platform has 16 or 20 machines without a disk in each zone; the
// simulated one has grownOthers.
const (
	grownDisks  = 2
	grownOthers = 1
	grownShards = 6
	grownLater  = 9
)

// grow changes a site to the sizes of a grown deployment.
func (s *siteShape) grow() {
	for i := range s.zones {
		s.zones[i].machines, s.zones[i].disks = grownDisks+grownOthers, grownDisks
	}
	for i := range s.pools {
		p := &s.pools[i]
		p.perZone = []int{2, 2, 2, 2}
		switch {
		case p.shards > 0 && p.afterReshard:
			p.shards = grownLater
		case p.shards > 0:
			p.shards = grownShards
		}
	}
	s.tolerance = [2]int{2, 1}
	s.coreShare = float64(grownDisks) / float64(grownDisks+grownOthers)
	s.allowance = 200
}
