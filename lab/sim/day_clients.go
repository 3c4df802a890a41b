// The clients of a day: kinds of requests by zone, new and kept connections, retries as the platform's pages ask
// for them, and probes of the configuration in force.

package sim

import (
	"fmt"
	"hash/fnv"
	"math"

	"wallport/lab/rules"
	"wallport/request/dispatch"
	"wallport/runtime/clock"
)

// Constants of clients.
const (
	clientsPerZone      = 30
	connectUs           = clock.Second
	readyEvery          = clock.Second
	missesMost          = 2
	waveUs              = 11 * clock.Second
	probeEvery          = 400 * clock.Millisecond
	defaultEagerRetries = 2
)

type clients struct {
	day    *day
	rate   float64
	until  clock.Micros
	sent   int
	misses map[*machine]int
	conns  map[string]nodeConn
	eager  int
	// eagerRetries is the number of additional retries of clients that do not wait as told.
	eagerRetries int
	owed         map[string]float64
	earned       map[string]float64
	phases       []float64
	// pressure holds the load factors of zones and of kinds of requests.
	pressure map[string]float64
}

// nodeConn is a client's connection to one incarnation of a node.
type nodeConn struct {
	machine     *machine
	incarnation int
}

// wantedRequest is one logical request of a client, which may take several attempts.
type wantedRequest struct {
	kind                  *requestShape
	zone, client          string
	began, end            clock.Micros
	attemptsLeft, attempt int
	eager                 bool
	path                  string
	body                  []byte
	refusedAt             clock.Micros
	ended                 bool
}

func (c *clients) init(d *day) {
	c.day, c.misses, c.conns = d, map[*machine]int{}, map[string]nodeConn{}
	c.pressure = map[string]float64{}
	c.eagerRetries = defaultEagerRetries
	c.rate = float64(d.world.Script.Int("rate_percent", 20)) / 100
	c.eager = int(d.world.Script.Int("eager_percent", 5))
	c.owed, c.earned = map[string]float64{}, map[string]float64{}
	for range d.site.zones {
		c.phases = append(c.phases, d.world.rng.Float64())
	}
}

func (c *clients) begin() {
	c.until = c.day.end() - clock.Second
	c.day.world.at(100*clock.Millisecond, c.checkReady)
	for i := range c.day.site.zones {
		c.day.world.at(leadUs, func() { c.next(i) })
	}
	c.day.world.at(leadUs, c.sendProbe)
}

// next sends a request of a zone's clients and schedules the following one.
func (c *clients) next(zi int) {
	d := c.day
	if d.world.now >= c.until || c.rate <= 0 {
		return
	}
	z := d.site.zones[zi]
	sum, perS := 0.0, 0.0
	for _, o := range d.site.zones {
		sum += o.weight
	}
	for i := range d.site.kinds {
		perS += c.perSecond(&d.site.kinds[i])
	}
	wave := 1 + 0.15*math.Sin(2*math.Pi*(float64(d.world.now)/float64(waveUs)+c.phases[zi]))
	rate := perS * c.rate * c.pressureOn(z.name) * z.weight / sum * wave
	d.world.after(int64(d.world.rng.ExpFloat64()*1e6/rate)+1, func() { c.next(zi) })
	pick := d.world.rng.Float64() * perS
	kind := &d.site.kinds[0]
	for i := range d.site.kinds {
		if pick -= c.perSecond(&d.site.kinds[i]); pick < 0 {
			kind = &d.site.kinds[i]
			break
		}
	}
	c.sent++
	wanted := &wantedRequest{
		kind: kind, zone: z.name, client: fmt.Sprintf("%s/%d", z.name, d.world.rng.IntN(clientsPerZone)), began: d.world.now, end: d.world.now + kind.deadlineUs,
		attemptsLeft: 1 + kind.retries, path: fmt.Sprintf("%sx%d", prefixOf(kind.name), c.sent), eager: d.world.rng.IntN(100) < c.eager,
	}
	if wanted.eager {
		wanted.attemptsLeft += c.eagerRetries
	}
	for range kind.bodyBytes {
		wanted.body = append(wanted.body, byte(d.world.rng.Uint32()))
	}
	c.owed[kind.name] += kind.value
	d.world.Checker.Count("requests", 1)
	c.sendAttempt(wanted)
}

func prefixOf(name string) string { return "/" + name + "/" }

const host = "wall.example"

// sendAttempt makes one attempt at a request.
func (c *clients) sendAttempt(wanted *wantedRequest) {
	d := c.day
	wanted.attemptsLeft--
	wanted.attempt++
	d.world.nextID++
	attempt := &rules.Attempt{
		ID: fmt.Sprintf("t-%x", d.world.nextID), Class: wanted.kind.name, Client: wanted.client, Zone: wanted.zone, Host: host, Method: "GET", Path: wanted.path,
		Target: wanted.path + "?q=1", Body: wanted.body, Repeatable: wanted.kind.repeatable, Sent: d.world.now, Ended: rules.Never, Deadline: wanted.end, Further: wanted.attempt > 1,
	}
	if len(wanted.body) > 0 {
		attempt.Method = "POST"
	}
	d.journal.Attempts = append(d.journal.Attempts, attempt)
	to, ok := c.conns[wanted.client]
	if ok && (wanted.attempt > 1 || !to.machine.node.up || to.machine.node.incarnation != to.incarnation || c.day.gateways[to.machine.node].draining) {
		delete(c.conns, wanted.client)
		ok = false
	}
	if !ok {
		to.machine = c.pickNode(wanted.zone, wanted.client, wanted.attempt+d.world.rng.IntN(2))
		if to.machine == nil {
			c.ended(wanted, attempt, false)
			return
		}
		to.incarnation = to.machine.node.incarnation
	}
	attempt.Machine = to.machine.name
	c.connect(wanted, attempt, to, !ok)
}

// connect opens a connection unless one is kept, and sends the request.
func (c *clients) connect(wanted *wantedRequest, attempt *rules.Attempt, to nodeConn, fresh bool) {
	d := c.day
	there := d.site.clientUs + d.world.rng.Int64N(200)
	wait := there
	if fresh {
		wait = 3 * there
		g := d.gateways[to.machine.node]
		switch {
		case to.machine.poweredOff:
			d.world.after(connectUs, func() { c.ended(wanted, attempt, true) })
			return
		case g == nil || !g.accepts():
			d.world.after(2*there, func() { c.ended(wanted, attempt, true) })
			return
		}
	}
	d.world.after(wait, func() { c.send(wanted, attempt, to, there) })
	d.world.at(wanted.end, func() { c.giveUp(wanted, attempt) })
}

// giveUp ends the attempt at the client's deadline.
func (c *clients) giveUp(wanted *wantedRequest, attempt *rules.Attempt) {
	if attempt.Ended == rules.Never {
		attempt.GaveUp = true
		c.ended(wanted, attempt, false)
	}
}

// send delivers the request to the node once its last byte is there.
func (c *clients) send(wanted *wantedRequest, attempt *rules.Attempt, to nodeConn, there int64) {
	d := c.day
	if attempt.Ended != rules.Never {
		return
	}
	p := to.machine.node
	if !p.up || p.incarnation != to.incarnation {
		d.world.after(there, func() { c.ended(wanted, attempt, !to.machine.poweredOff) })
		return
	}
	g := d.gateways[p]
	request := g.accept(attempt, wanted.kind, func(o *dispatch.Outcome) {
		if o == nil {
			dark := to.machine.poweredOff
			attempt.Aborted = attempt.Read > 0 && !attempt.GaveUp && attempt.Ended == rules.Never
			if !dark {
				d.world.after(there, func() { c.ended(wanted, attempt, attempt.Read == 0) })
			}
			return
		}
		d.world.after(there, func() { c.responded(wanted, attempt, to, o) })
	})
	request.hangUp = func() {
		attempt.GaveUp = true
		g.clientGone(request)
		d.world.after(there, func() { c.ended(wanted, attempt, attempt.Read == 0) })
	}
	if attempt.Repeatable {
		// An idempotent request that the node has not read after a while is given up.
		d.world.after(min(clock.Second, (wanted.end-d.world.now)/3), func() {
			if attempt.Read == 0 && attempt.Ended == rules.Never {
				attempt.GaveUp = true
				g.clientGone(request)
				c.ended(wanted, attempt, true)
			}
		})
	}
	d.world.at(wanted.end, func() { g.clientGone(request) })
}

func (c *clients) finish() {
	var owed, earned float64
	for _, k := range c.day.site.kinds {
		owed += c.owed[k.name]
		earned += c.earned[k.name]
		if c.owed[k.name] > 0 {
			c.day.world.Checker.Count("earned_percent."+k.name, int64(100*c.earned[k.name]/c.owed[k.name]))
		}
	}
	if owed > 0 {
		c.day.world.Checker.Count("earned_percent", int64(100*earned/owed))
	}
	ready := 0
	for _, m := range c.day.machines {
		if g := c.day.gateways[m.node]; g != nil && g.ready() {
			ready++
		}
	}
	c.day.world.Checker.Count("ready_at_end", int64(ready))
}

// burst multiplies the traffic of a zone, of a kind of requests, or all, for a while.
func (c *clients) burst(step *dayStep) {
	x := step.factorOr(3)
	names := []string{step.zone, step.class}
	if step.zone == "" && step.class == "" {
		names = []string{allTraffic}
	}
	by := func(x float64) {
		for _, name := range names {
			if name != "" {
				c.pressure[name] = c.pressureOn(name) * x
			}
		}
	}
	by(x)
	c.day.world.after(step.forUs, func() { by(1 / x) })
}

// allTraffic stands for all zones and kinds.
const allTraffic = "*"

// pressureOn returns the load factor of a zone or of a kind.
func (c *clients) pressureOn(name string) float64 {
	if x := c.pressure[name]; x > 0 {
		return x
	}
	return 1
}

// perSecond returns how many requests of a kind arrive in a second, before the day's rate is applied.
func (c *clients) perSecond(kind *requestShape) float64 {
	return kind.perSecond * c.pressureOn(kind.name) * c.pressureOn(allTraffic)
}

// checkReady asks every node each second for its readiness; one that misses twice gets no new connections.
func (c *clients) checkReady() {
	c.day.world.after(readyEvery, c.checkReady)
	for _, m := range c.day.machines {
		if g := c.day.gateways[m.node]; g != nil && m.node.running() && !m.poweredOff && g.ready() {
			c.misses[m] = 0
		} else {
			c.misses[m]++
		}
	}
}

// in returns a zone's nodes that get new connections.
func (c *clients) in(zone string) (out, all []*machine) {
	for _, m := range c.day.machines {
		if m.zone == zone && !m.removed {
			all = append(all, m)
			if c.misses[m] < missesMost {
				out = append(out, m)
			}
		}
	}
	return out, all
}

// pickNode chooses the node of a new connection by a hash of the client, another one for each attempt.
func (c *clients) pickNode(zone, client string, attempt int) *machine {
	list, all := c.in(zone)
	if len(list) == 0 {
		// None is ready: fall back to the nodes of the other zones.
		for _, z := range c.day.site.zones {
			if l, _ := c.in(z.name); len(l) > 0 {
				list = l
				break
			}
		}
	} else if 2*len(list) < len(all) {
		list = all
	}
	if len(list) == 0 {
		return nil
	}
	h := fnv.New32a()
	fmt.Fprint(h, client)
	return list[(int(h.Sum32()>>8)+attempt)%len(list)]
}
