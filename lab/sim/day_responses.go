// What clients make of their answers: worth, and whether to try again.

package sim

import (
	"fmt"

	"wallport/lab/rules"
	"wallport/request/dispatch"
)

// responded is the answer's last byte at the client.
func (c *clients) responded(w *wantedRequest, t *rules.Attempt, k nodeConn, o *dispatch.Outcome) {
	d := c.day
	if t.Ended != rules.Never {
		return
	}
	t.Status, t.RetryAfterUs, t.Missing, t.Seals = o.Status, o.RetryAfter, o.Missing, o.Seals
	switch {
	case o.Response != nil:
		t.Seal, t.Answer = o.Response.Seal, o.Response.Body
	case len(o.Seals) > 0:
		t.Answer = o.Body
	default:
		t.Generated = true
	}
	d.world.logEvent(t.Machine + " " + t.ID + " " + t.Class + " " + string(o.Code) + " " + o.Reason)
	d.world.Checker.Count("outcome."+string(o.Code), 1)
	if g := d.gateways[k.machine.node]; g != nil && !g.draining && !g.closed && !t.Probe && d.world.rng.IntN(3) > 0 {
		c.conns[w.client] = k
	} else {
		delete(c.conns, w.client)
	}
	c.ended(w, t, false)
}

// ended is the end of a try; unread tells that the client knows that the node has not read it.
func (c *clients) ended(w *wantedRequest, t *rules.Attempt, unread bool) {
	d := c.day
	if t.Ended != rules.Never {
		return
	}
	t.Ended = d.world.now
	if t.Probe || w.ended {
		return
	}
	if t.Served() {
		w.ended = true
		c.creditValue(w, t)
		return
	}
	if t.Status == 0 {
		d.world.Checker.Count("outcome.none", 1)
	}
	left := w.end - d.world.now
	again := left > 0 && w.attemptsLeft > 0 && (t.Status == 0 || retried(t.Status))
	if !t.Repeatable {
		again = again && (unread || t.Status == 429 || t.Status == 503 || t.Status == 408 || t.Status == 421)
	}
	if !again {
		w.ended = true
		d.world.Checker.Count("unserved", 1)
		return
	}
	wait := min(t.RetryAfterUs, left/3)
	if w.eager {
		wait = 0
	}
	if t.Status == 503 && w.refusedAt == 0 {
		w.refusedAt = d.world.now
	}
	d.world.after(wait, func() { c.sendAttempt(w) })
}

// retried tells that a status may be tried again at all.
func retried(status int) bool {
	switch status {
	case 400, 401, 404, 413, 431:
		return false
	}
	return status >= 300
}

// creditValue counts what an answer earns.
func (c *clients) creditValue(w *wantedRequest, t *rules.Attempt) {
	d := c.day
	d.world.Checker.Count("served", 1)
	worth := w.kind.late
	if d.world.now-w.began <= w.kind.targetUs {
		worth = w.kind.value
		d.world.Checker.Count("in_aim", 1)
	}
	if n := len(t.Seals); n > 0 {
		if t.Missing > 0 {
			d.world.Checker.Count("partial", 1)
		}
		share := float64(n) / float64(n+t.Missing)
		worth *= share * share
	}
	c.earned[w.kind.name] += worth
}

// sendProbe asks every node that is ready, or gets clients, for routes that were added, removed or never there.
func (c *clients) sendProbe() {
	d := c.day
	if d.world.now >= c.until {
		return
	}
	d.world.after(probeEvery, c.sendProbe)
	names := d.commands.idleNames()
	if len(names) == 0 {
		return
	}
	k := d.idleKind()
	for _, m := range d.machines {
		if c.misses[m] > 0 || !m.node.up || m.poweredOff {
			continue
		}
		path := prefixOf(names[d.world.rng.IntN(len(names))])
		w := &wantedRequest{kind: k, zone: m.zone, client: "probe", began: d.world.now, end: d.world.now + k.deadlineUs, path: path}
		d.world.nextID++
		t := &rules.Attempt{
			ID: idOf(d.world.nextID), Class: "probe", Client: "probe", Zone: m.zone, Machine: m.name, Host: host, Method: "GET", Path: path, Target: path,
			Repeatable: true, Probe: true, Sent: d.world.now, Ended: rules.Never, Deadline: w.end,
		}
		d.journal.Attempts = append(d.journal.Attempts, t)
		d.world.Checker.Count("probes_of_routes", 1)
		c.connect(w, t, nodeConn{m, m.node.incarnation}, true)
	}
}

func idOf(n uint64) string { return fmt.Sprintf("t-%x", n) }
