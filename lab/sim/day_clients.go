// The clients of a day: the load by zone and kind of request, new and kept-alive connections, and retries as the
// platform's documentation requires them.

package sim

import (
	"fmt"
	"hash/fnv"
	"math"

	"wallport/lab/rules"
	"wallport/request/dispatch"
	"wallport/runtime/clock"
)

// Parameters of the simulated clients. Each zone has clientsPerZone clients. A dial to a machine without power fails
// after connectUs. A node that fails maxMisses readiness checks in a row gets no new connections. The load varies with
// the period waveUs.
const (
	clientsPerZone      = 30
	connectUs           = clock.Second
	readinessInterval   = clock.Second
	maxMisses           = 2
	waveUs              = 11 * clock.Second
	probeInterval       = 400 * clock.Millisecond
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
	// eagerRetries is the number of additional retries of eager clients, which do not observe Retry-After; eager is the
	// percentage of the requests that eager clients send.
	eagerRetries int
	offered      map[string]float64
	earned       map[string]float64
	phases       []float64
	// loadFactors maps the name of a zone, the name of a kind of requests, or allTraffic to its load factor.
	loadFactors map[string]float64
}

// nodeConn is a client's connection to one incarnation of the node on a machine.
type nodeConn struct {
	machine     *machine
	incarnation int
}

// clientCall is one logical request of a client, which may need several attempts.
type clientCall struct {
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
	c.loadFactors = map[string]float64{}
	c.eagerRetries = defaultEagerRetries
	c.rate = float64(d.sim.Script.Int("rate_percent", 20)) / 100
	c.eager = int(d.sim.Script.Int("eager_percent", 5))
	c.offered, c.earned = map[string]float64{}, map[string]float64{}
	for range d.site.zones {
		c.phases = append(c.phases, d.sim.rng.Float64())
	}
}

func (c *clients) begin() {
	c.until = c.day.end() - clock.Second
	c.day.sim.at(100*clock.Millisecond, c.checkReady)
	for i := range c.day.site.zones {
		c.day.sim.at(trafficStartUs, func() { c.sendNext(i) })
	}
	c.day.sim.at(trafficStartUs, c.sendProbe)
}

// sendNext sends one request from the clients of a zone and schedules the next one. The load varies by 15% with a
// period of waveUs.
func (c *clients) sendNext(zi int) {
	d := c.day
	if d.sim.now >= c.until || c.rate <= 0 {
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
	wave := 1 + 0.15*math.Sin(2*math.Pi*(float64(d.sim.now)/float64(waveUs)+c.phases[zi]))
	rate := perS * c.rate * c.loadFactor(z.name) * z.weight / sum * wave
	d.sim.after(int64(d.sim.rng.ExpFloat64()*1e6/rate)+1, func() { c.sendNext(zi) })
	pick := d.sim.rng.Float64() * perS
	kind := &d.site.kinds[0]
	for i := range d.site.kinds {
		if pick -= c.perSecond(&d.site.kinds[i]); pick < 0 {
			kind = &d.site.kinds[i]
			break
		}
	}
	c.sent++
	call := &clientCall{
		kind: kind, zone: z.name, client: fmt.Sprintf("%s/%d", z.name, d.sim.rng.IntN(clientsPerZone)), began: d.sim.now, end: d.sim.now + kind.deadlineUs,
		attemptsLeft: 1 + kind.retries, path: fmt.Sprintf("%sx%d", prefixOf(kind.name), c.sent), eager: d.sim.rng.IntN(100) < c.eager,
	}
	if call.eager {
		call.attemptsLeft += c.eagerRetries
	}
	for range kind.bodyBytes {
		call.body = append(call.body, byte(d.sim.rng.Uint32()))
	}
	c.offered[kind.name] += kind.value
	d.sim.Checker.Count("requests", 1)
	c.sendAttempt(call)
}

func prefixOf(name string) string { return "/" + name + "/" }

const host = "wall.example"

// sendAttempt makes one attempt at a request, on the client's kept-alive connection if that is usable, otherwise on a
// new one.
func (c *clients) sendAttempt(call *clientCall) {
	d := c.day
	call.attemptsLeft--
	call.attempt++
	d.sim.nextID++
	attempt := &rules.Attempt{
		ID: fmt.Sprintf("t-%x", d.sim.nextID), Class: call.kind.name, Client: call.client, Zone: call.zone, Host: host, Method: "GET", Path: call.path,
		Target: call.path + "?q=1", Body: call.body, Repeatable: call.kind.repeatable, Sent: d.sim.now, Ended: rules.Never, Deadline: call.end, Further: call.attempt > 1,
	}
	if len(call.body) > 0 {
		attempt.Method = "POST"
	}
	d.journal.Attempts = append(d.journal.Attempts, attempt)
	to, ok := c.conns[call.client]
	if ok && (call.attempt > 1 || !to.machine.node.up || to.machine.node.incarnation != to.incarnation || c.day.gateways[to.machine.node].draining) {
		delete(c.conns, call.client)
		ok = false
	}
	if !ok {
		to.machine = c.pickNode(call.zone, call.client, call.attempt+d.sim.rng.IntN(2))
		if to.machine == nil {
			c.ended(call, attempt, false)
			return
		}
		to.incarnation = to.machine.node.incarnation
	}
	attempt.Machine = to.machine.name
	c.connect(call, attempt, to, !ok)
}

// connect sends the request. If fresh is set, it first opens a connection, and ends the attempt if that fails.
func (c *clients) connect(call *clientCall, attempt *rules.Attempt, to nodeConn, fresh bool) {
	d := c.day
	latency := d.site.clientUs + d.sim.rng.Int64N(200)
	wait := latency
	if fresh {
		wait = 3 * latency
		g := d.gateways[to.machine.node]
		switch {
		case to.machine.poweredOff:
			d.sim.after(connectUs, func() { c.ended(call, attempt, true) })
			return
		case g == nil || !g.accepts():
			d.sim.after(2*latency, func() { c.ended(call, attempt, true) })
			return
		}
	}
	d.sim.after(wait, func() { c.send(call, attempt, to, latency) })
	d.sim.at(call.end, func() { c.giveUp(call, attempt) })
}

// giveUp ends an unfinished attempt at the client's deadline.
func (c *clients) giveUp(call *clientCall, attempt *rules.Attempt) {
	if attempt.Ended == rules.Never {
		attempt.Canceled = true
		c.ended(call, attempt, false)
	}
}

// send is called when the last byte of the request arrives at the node.
func (c *clients) send(call *clientCall, attempt *rules.Attempt, to nodeConn, latency int64) {
	d := c.day
	if attempt.Ended != rules.Never {
		return
	}
	p := to.machine.node
	if !p.up || p.incarnation != to.incarnation {
		d.sim.after(latency, func() { c.ended(call, attempt, !to.machine.poweredOff) })
		return
	}
	g := d.gateways[p]
	request := g.accept(attempt, call.kind, func(o *dispatch.Outcome) {
		if o == nil {
			poweredOff := to.machine.poweredOff
			attempt.Aborted = attempt.Read > 0 && !attempt.Canceled && attempt.Ended == rules.Never
			if !poweredOff {
				d.sim.after(latency, func() { c.ended(call, attempt, attempt.Read == 0) })
			}
			return
		}
		d.sim.after(latency, func() { c.responded(call, attempt, to, o) })
	})
	request.disconnect = func() {
		attempt.Canceled = true
		g.clientGone(request)
		d.sim.after(latency, func() { c.ended(call, attempt, attempt.Read == 0) })
	}
	if attempt.Repeatable {
		// The client gives up an idempotent request if the node does not read it within a third of the time that
		// remains until the deadline, or within 1 s if that is shorter.
		d.sim.after(min(clock.Second, (call.end-d.sim.now)/3), func() {
			if attempt.Read == 0 && attempt.Ended == rules.Never {
				attempt.Canceled = true
				g.clientGone(request)
				c.ended(call, attempt, true)
			}
		})
	}
	d.sim.at(call.end, func() { g.clientGone(request) })
}

func (c *clients) finish() {
	var offered, earned float64
	for _, k := range c.day.site.kinds {
		offered += c.offered[k.name]
		earned += c.earned[k.name]
		if c.offered[k.name] > 0 {
			c.day.sim.Checker.Count("earned_percent."+k.name, int64(100*c.earned[k.name]/c.offered[k.name]))
		}
	}
	if offered > 0 {
		c.day.sim.Checker.Count("earned_percent", int64(100*earned/offered))
	}
	ready := 0
	for _, m := range c.day.machines {
		if g := c.day.gateways[m.node]; g != nil && g.ready() {
			ready++
		}
	}
	c.day.sim.Checker.Count("ready_at_end", int64(ready))
}

// burst multiplies, for step.forUs, the traffic of the zone and of the kind of requests that the step names, or all
// traffic if the step names neither.
func (c *clients) burst(step *dayStep) {
	x := step.factorOr(3)
	names := []string{step.zone, step.class}
	if step.zone == "" && step.class == "" {
		names = []string{allTraffic}
	}
	by := func(x float64) {
		for _, name := range names {
			if name != "" {
				c.loadFactors[name] = c.loadFactor(name) * x
			}
		}
	}
	by(x)
	c.day.sim.after(step.forUs, func() { by(1 / x) })
}

// allTraffic is the name under which the load factor of all zones and kinds is stored.
const allTraffic = "*"

// loadFactor returns the load factor of a zone, of a kind, or of all traffic; 1 if none is set.
func (c *clients) loadFactor(name string) float64 {
	if x := c.loadFactors[name]; x > 0 {
		return x
	}
	return 1
}

// perSecond returns the number of requests of a kind per second, before the day's rate is applied.
func (c *clients) perSecond(kind *requestShape) float64 {
	return kind.perSecond * c.loadFactor(kind.name) * c.loadFactor(allTraffic)
}

// checkReady checks the readiness of every node once a second. A node that is not ready twice in a row gets no new
// connections.
func (c *clients) checkReady() {
	c.day.sim.after(readinessInterval, c.checkReady)
	for _, m := range c.day.machines {
		if g := c.day.gateways[m.node]; g != nil && m.node.running() && !m.poweredOff && g.ready() {
			c.misses[m] = 0
		} else {
			c.misses[m]++
		}
	}
}

// nodesIn returns the machines of a zone that get new connections, and all machines of the zone.
func (c *clients) nodesIn(zone string) (out, all []*machine) {
	for _, m := range c.day.machines {
		if m.zone == zone && !m.removed {
			all = append(all, m)
			if c.misses[m] < maxMisses {
				out = append(out, m)
			}
		}
	}
	return out, all
}

// pickNode chooses the machine for a new connection by a hash of the client, and a different machine for each attempt.
// If less than half of the zone's nodes are ready, it chooses among all nodes of the zone.
func (c *clients) pickNode(zone, client string, attempt int) *machine {
	list, all := c.nodesIn(zone)
	if len(list) == 0 {
		// No node of the zone is ready: fall back to the first zone that has ready nodes.
		for _, z := range c.day.site.zones {
			if l, _ := c.nodesIn(z.name); len(l) > 0 {
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
