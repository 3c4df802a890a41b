// The clients of a day: kinds of requests by zone, connections kept or new,
// further tries as the platform's pages tell them, and probes of what is in force.

package sim

import (
	"fmt"
	"math"

	"wallport/lab/rules"
	"wallport/request/dispatch"
)

// Figures of clients.
const (
	clientsPerZone = 30
	connectUs      = 1_000_000
	readyEvery     = 1_000_000
	missesMost     = 2
	waveUs         = 11_000_000
	probeEvery     = 400_000
	eagerTries     = 2
)

type clients struct {
	d      *day
	rate   float64
	until  int64
	n      int
	misses map[*machine]int
	kept   map[string]link2
	eager  int
	// eagerTries are the further tries of clients that do not wait as told.
	eagerTries int
	owed       map[string]float64
	earned     map[string]float64
	phases     []float64
	// pressed are the factors by which a zone or a kind of requests is pressed beyond the usual.
	pressed map[string]float64
}

// link2 is a client's connection to a life of a node.
type link2 struct {
	m    *machine
	life int
}

// want is what a client wants: one request, which may take some tries.
type want struct {
	kind          *kindShape
	zone, client  string
	began, end    int64
	tries, number int
	eager         bool
	path          string
	body          []byte
	refusedAt     int64
	over          bool
}

func (c *clients) init(d *day) {
	c.d, c.misses, c.kept = d, map[*machine]int{}, map[string]link2{}
	c.pressed = map[string]float64{}
	c.eagerTries = eagerTries
	c.rate = float64(d.w.Script.Int("rate_percent", 20)) / 100
	c.eager = int(d.w.Script.Int("eager_percent", 5))
	c.owed, c.earned = map[string]float64{}, map[string]float64{}
	for range d.site.zones {
		c.phases = append(c.phases, d.w.rnd.Float64())
	}
}

func (c *clients) begin() {
	c.until = c.d.end() - 1_000_000
	c.d.w.at(100_000, c.askReady)
	for i := range c.d.site.zones {
		c.d.w.at(leadUs, func() { c.next(i) })
	}
	c.d.w.at(leadUs, c.probe)
}

// next sends a request of a zone's clients and sets the time of the following one.
func (c *clients) next(zi int) {
	d := c.d
	if d.w.now >= c.until || c.rate <= 0 {
		return
	}
	z := d.site.zones[zi]
	sum, perS := 0.0, 0.0
	for _, o := range d.site.zones {
		sum += o.weight
	}
	for i := range d.site.kinds {
		perS += c.perS(&d.site.kinds[i])
	}
	wave := 1 + 0.15*math.Sin(2*math.Pi*(float64(d.w.now)/waveUs+c.phases[zi]))
	rate := perS * c.rate * c.press(z.name) * z.weight / sum * wave
	d.w.after(int64(d.w.rnd.ExpFloat64()*1e6/rate)+1, func() { c.next(zi) })
	pick := d.w.rnd.Float64() * perS
	k := &d.site.kinds[0]
	for i := range d.site.kinds {
		if pick -= c.perS(&d.site.kinds[i]); pick < 0 {
			k = &d.site.kinds[i]
			break
		}
	}
	c.n++
	w := &want{
		kind: k, zone: z.name, client: fmt.Sprintf("%s/%d", z.name, d.w.rnd.IntN(clientsPerZone)), began: d.w.now, end: d.w.now + k.deadlineUs,
		tries: 1 + k.retries, path: fmt.Sprintf("%sx%d", prefixOf(k.name), c.n), eager: d.w.rnd.IntN(100) < c.eager,
	}
	if w.eager {
		w.tries += c.eagerTries
	}
	for range k.body {
		w.body = append(w.body, byte(d.w.rnd.Uint32()))
	}
	c.owed[k.name] += k.worth
	d.w.Judge.Count("requests", 1)
	c.try(w)
}

func prefixOf(name string) string { return "/" + name + "/" }

const host = "wall.example"

// try sends a request once.
func (c *clients) try(w *want) {
	d := c.d
	w.tries--
	w.number++
	d.w.nextID++
	t := &rules.Try{
		ID: fmt.Sprintf("t-%x", d.w.nextID), Class: w.kind.name, Client: w.client, Zone: w.zone, Host: host, Method: "GET", Path: w.path,
		Target: w.path + "?q=1", Body: w.body, Repeatable: w.kind.repeatable, Sent: d.w.now, Ended: rules.Never, Deadline: w.end, Further: w.number > 1,
	}
	if len(w.body) > 0 {
		t.Method = "POST"
	}
	d.journal.Tries = append(d.journal.Tries, t)
	k, ok := c.kept[w.client]
	if ok && (w.number > 1 || !k.m.node.up || k.m.node.life != k.life || c.d.gates[k.m.node].drains) {
		delete(c.kept, w.client)
		ok = false
	}
	if !ok {
		k.m = c.node(w.zone, w.client, w.number+d.w.rnd.IntN(2))
		if k.m == nil {
			c.ended(w, t, false)
			return
		}
		k.life = k.m.node.life
	}
	t.Machine = k.m.name
	c.connect(w, t, k, !ok)
}

// connect opens the connection where it is new, and sends the request.
func (c *clients) connect(w *want, t *rules.Try, k link2, fresh bool) {
	d := c.d
	there := d.site.clientUs + d.w.rnd.Int64N(200)
	wait := there
	if fresh {
		wait = 3 * there
		g := d.gates[k.m.node]
		switch {
		case k.m.dark:
			d.w.after(connectUs, func() { c.ended(w, t, true) })
			return
		case g == nil || !g.accepts():
			d.w.after(2*there, func() { c.ended(w, t, true) })
			return
		}
	}
	d.w.after(wait, func() { c.send(w, t, k, there) })
	d.w.at(w.end, func() { c.giveUp(w, t) })
}

// giveUp is the client's deadline.
func (c *clients) giveUp(w *want, t *rules.Try) {
	if t.Ended == rules.Never {
		t.GaveUp = true
		c.ended(w, t, false)
	}
}

// send is the request's last byte at the node.
func (c *clients) send(w *want, t *rules.Try, k link2, there int64) {
	d := c.d
	if t.Ended != rules.Never {
		return
	}
	p := k.m.node
	if !p.up || p.life != k.life {
		d.w.after(there, func() { c.ended(w, t, !k.m.dark) })
		return
	}
	g := d.gates[p]
	r := g.read(t, w.kind, func(o *dispatch.Outcome) {
		if o == nil {
			dark := k.m.dark
			t.Cut = t.Read > 0 && !t.GaveUp && t.Ended == rules.Never
			if !dark {
				d.w.after(there, func() { c.ended(w, t, t.Read == 0) })
			}
			return
		}
		d.w.after(there, func() { c.answered(w, t, k, o) })
	})
	r.cut = func() {
		t.GaveUp = true
		g.leave(r)
		d.w.after(there, func() { c.ended(w, t, t.Read == 0) })
	}
	if t.Repeatable {
		// One that has not been read after a while is given up.
		d.w.after(min(1_000_000, (w.end-d.w.now)/3), func() {
			if t.Read == 0 && t.Ended == rules.Never {
				t.GaveUp = true
				g.leave(r)
				c.ended(w, t, true)
			}
		})
	}
	d.w.at(w.end, func() { g.leave(r) })
}

func (c *clients) finish() {
	var owed, earned float64
	for _, k := range c.d.site.kinds {
		owed += c.owed[k.name]
		earned += c.earned[k.name]
		if c.owed[k.name] > 0 {
			c.d.w.Judge.Count("earned_percent."+k.name, int64(100*c.earned[k.name]/c.owed[k.name]))
		}
	}
	if owed > 0 {
		c.d.w.Judge.Count("earned_percent", int64(100*earned/owed))
	}
	ready := 0
	for _, m := range c.d.machines {
		if g := c.d.gates[m.node]; g != nil && g.ready() {
			ready++
		}
	}
	c.d.w.Judge.Count("ready_at_end", int64(ready))
}
