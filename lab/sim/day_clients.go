// The clients of a day: kinds of requests by zone, connections kept or new,
// further tries as the platform's pages tell them, and probes of what is in force.

package sim

import (
	"fmt"
	"hash/fnv"
	"math"

	"wallport/lab/rules"
	"wallport/request/dispatch"
)

// Figures of clients.
const (
	clientsPerZone      = 30
	connectUs           = 1_000_000
	readyEvery          = 1_000_000
	missesMost          = 2
	waveUs              = 11_000_000
	probeEvery          = 400_000
	defaultEagerRetries = 2
)

type clients struct {
	day    *day
	rate   float64
	until  int64
	sent   int
	misses map[*machine]int
	conns  map[string]nodeConn
	eager  int
	// eagerRetries are the further tries of clients that do not wait as told.
	eagerRetries int
	owed         map[string]float64
	earned       map[string]float64
	phases       []float64
	// pressure are the factors by which a zone or a kind of requests is pressed beyond the usual.
	pressure map[string]float64
}

// nodeConn is a client's connection to a life of a node.
type nodeConn struct {
	machine     *machine
	incarnation int
}

// wantedRequest is what a client wants: one request, which may take some tries.
type wantedRequest struct {
	kind                  *requestShape
	zone, client          string
	began, end            int64
	attemptsLeft, attempt int
	eager                 bool
	path                  string
	body                  []byte
	refusedAt             int64
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
	c.until = c.day.end() - 1_000_000
	c.day.world.at(100_000, c.checkReady)
	for i := range c.day.site.zones {
		c.day.world.at(leadUs, func() { c.next(i) })
	}
	c.day.world.at(leadUs, c.sendProbe)
}

// next sends a request of a zone's clients and sets the time of the following one.
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
	wave := 1 + 0.15*math.Sin(2*math.Pi*(float64(d.world.now)/waveUs+c.phases[zi]))
	rate := perS * c.rate * c.pressureOn(z.name) * z.weight / sum * wave
	d.world.after(int64(d.world.rng.ExpFloat64()*1e6/rate)+1, func() { c.next(zi) })
	pick := d.world.rng.Float64() * perS
	k := &d.site.kinds[0]
	for i := range d.site.kinds {
		if pick -= c.perSecond(&d.site.kinds[i]); pick < 0 {
			k = &d.site.kinds[i]
			break
		}
	}
	c.sent++
	w := &wantedRequest{
		kind: k, zone: z.name, client: fmt.Sprintf("%s/%d", z.name, d.world.rng.IntN(clientsPerZone)), began: d.world.now, end: d.world.now + k.deadlineUs,
		attemptsLeft: 1 + k.retries, path: fmt.Sprintf("%sx%d", prefixOf(k.name), c.sent), eager: d.world.rng.IntN(100) < c.eager,
	}
	if w.eager {
		w.attemptsLeft += c.eagerRetries
	}
	for range k.bodyBytes {
		w.body = append(w.body, byte(d.world.rng.Uint32()))
	}
	c.owed[k.name] += k.value
	d.world.Checker.Count("requests", 1)
	c.sendAttempt(w)
}

func prefixOf(name string) string { return "/" + name + "/" }

const host = "wall.example"

// sendAttempt sends a request once.
func (c *clients) sendAttempt(w *wantedRequest) {
	d := c.day
	w.attemptsLeft--
	w.attempt++
	d.world.nextID++
	t := &rules.Attempt{
		ID: fmt.Sprintf("t-%x", d.world.nextID), Class: w.kind.name, Client: w.client, Zone: w.zone, Host: host, Method: "GET", Path: w.path,
		Target: w.path + "?q=1", Body: w.body, Repeatable: w.kind.repeatable, Sent: d.world.now, Ended: rules.Never, Deadline: w.end, Further: w.attempt > 1,
	}
	if len(w.body) > 0 {
		t.Method = "POST"
	}
	d.journal.Attempts = append(d.journal.Attempts, t)
	k, ok := c.conns[w.client]
	if ok && (w.attempt > 1 || !k.machine.node.up || k.machine.node.incarnation != k.incarnation || c.day.gateways[k.machine.node].draining) {
		delete(c.conns, w.client)
		ok = false
	}
	if !ok {
		k.machine = c.pickNode(w.zone, w.client, w.attempt+d.world.rng.IntN(2))
		if k.machine == nil {
			c.ended(w, t, false)
			return
		}
		k.incarnation = k.machine.node.incarnation
	}
	t.Machine = k.machine.name
	c.connect(w, t, k, !ok)
}

// connect opens the connection where it is new, and sends the request.
func (c *clients) connect(w *wantedRequest, t *rules.Attempt, k nodeConn, fresh bool) {
	d := c.day
	there := d.site.clientUs + d.world.rng.Int64N(200)
	wait := there
	if fresh {
		wait = 3 * there
		g := d.gateways[k.machine.node]
		switch {
		case k.machine.poweredOff:
			d.world.after(connectUs, func() { c.ended(w, t, true) })
			return
		case g == nil || !g.accepts():
			d.world.after(2*there, func() { c.ended(w, t, true) })
			return
		}
	}
	d.world.after(wait, func() { c.send(w, t, k, there) })
	d.world.at(w.end, func() { c.giveUp(w, t) })
}

// giveUp is the client's deadline.
func (c *clients) giveUp(w *wantedRequest, t *rules.Attempt) {
	if t.Ended == rules.Never {
		t.GaveUp = true
		c.ended(w, t, false)
	}
}

// send is the request's last byte at the node.
func (c *clients) send(w *wantedRequest, t *rules.Attempt, k nodeConn, there int64) {
	d := c.day
	if t.Ended != rules.Never {
		return
	}
	p := k.machine.node
	if !p.up || p.incarnation != k.incarnation {
		d.world.after(there, func() { c.ended(w, t, !k.machine.poweredOff) })
		return
	}
	g := d.gateways[p]
	r := g.accept(t, w.kind, func(o *dispatch.Outcome) {
		if o == nil {
			dark := k.machine.poweredOff
			t.Aborted = t.Read > 0 && !t.GaveUp && t.Ended == rules.Never
			if !dark {
				d.world.after(there, func() { c.ended(w, t, t.Read == 0) })
			}
			return
		}
		d.world.after(there, func() { c.responded(w, t, k, o) })
	})
	r.hangUp = func() {
		t.GaveUp = true
		g.clientGone(r)
		d.world.after(there, func() { c.ended(w, t, t.Read == 0) })
	}
	if t.Repeatable {
		// One that has not been read after a while is given up.
		d.world.after(min(1_000_000, (w.end-d.world.now)/3), func() {
			if t.Read == 0 && t.Ended == rules.Never {
				t.GaveUp = true
				g.clientGone(r)
				c.ended(w, t, true)
			}
		})
	}
	d.world.at(w.end, func() { g.clientGone(r) })
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
func (c *clients) burst(e *dayStep) {
	x := e.factorOr(3)
	names := []string{e.zone, e.class}
	if e.zone == "" && e.class == "" {
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
	c.day.world.after(e.forUs, func() { by(1 / x) })
}

// allTraffic stands for all zones and kinds.
const allTraffic = "*"

// pressureOn is by how much a zone or a kind is pressed.
func (c *clients) pressureOn(name string) float64 {
	if x := c.pressure[name]; x > 0 {
		return x
	}
	return 1
}

// perSecond is how many requests of a kind come in a second before the day's rate.
func (c *clients) perSecond(k *requestShape) float64 {
	return k.perSecond * c.pressureOn(k.name) * c.pressureOn(allTraffic)
}

// checkReady asks every node each second; one that misses twice gets no new connections.
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

// in lists a zone's nodes that get new connections.
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

// pickNode is where the platform leads a new connection: by a hash of the client, another one at each try.
func (c *clients) pickNode(zone, client string, try int) *machine {
	list, all := c.in(zone)
	if len(list) == 0 {
		// None is in: those of the other zones.
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
	return list[(int(h.Sum32()>>8)+try)%len(list)]
}
