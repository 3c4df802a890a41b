// What clients make of their answers: worth, and whether to try again.

package sim

import (
	"fmt"

	"wallport/lab/rules"
	"wallport/request/dispatch"
)

// answered is the answer's last byte at the client.
func (c *clients) answered(w *want, t *rules.Try, k link2, o *dispatch.Outcome) {
	d := c.d
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
		t.Own = true
	}
	d.w.note(t.Machine + " " + t.ID + " " + t.Class + " " + o.Code + " " + o.Reason)
	d.w.Judge.Count("outcome."+o.Code, 1)
	if g := d.gates[k.m.node]; g != nil && !g.drains && !g.shut && !t.Probe && d.w.rnd.IntN(3) > 0 {
		c.kept[w.client] = k
	} else {
		delete(c.kept, w.client)
	}
	c.ended(w, t, false)
}

// ended is the end of a try; unread tells that the client knows that the node has not read it.
func (c *clients) ended(w *want, t *rules.Try, unread bool) {
	d := c.d
	if t.Ended != rules.Never {
		return
	}
	t.Ended = d.w.now
	if t.Probe || w.over {
		return
	}
	if t.Served() {
		w.over = true
		c.worth(w, t)
		return
	}
	if t.Status == 0 {
		d.w.Judge.Count("outcome.none", 1)
	}
	left := w.end - d.w.now
	again := left > 0 && w.tries > 0 && (t.Status == 0 || retried(t.Status))
	if !t.Repeatable {
		again = again && (unread || t.Status == 429 || t.Status == 503 || t.Status == 408 || t.Status == 421)
	}
	if !again {
		w.over = true
		d.w.Judge.Count("unserved", 1)
		return
	}
	wait := min(t.RetryAfterUs, left/3)
	if w.eager {
		wait = 0
	}
	if t.Status == 503 && w.refusedAt == 0 {
		w.refusedAt = d.w.now
	}
	d.w.after(wait, func() { c.try(w) })
}

// retried tells that a status may be tried again at all.
func retried(status int) bool {
	switch status {
	case 400, 401, 404, 413, 431:
		return false
	}
	return status >= 300
}

// worth counts what an answer earns.
func (c *clients) worth(w *want, t *rules.Try) {
	d := c.d
	d.w.Judge.Count("served", 1)
	worth := w.kind.late
	if d.w.now-w.began <= w.kind.aimUs {
		worth = w.kind.worth
		d.w.Judge.Count("in_aim", 1)
	}
	if n := len(t.Seals); n > 0 {
		if t.Missing > 0 {
			d.w.Judge.Count("partial", 1)
		}
		share := float64(n) / float64(n+t.Missing)
		worth *= share * share
	}
	c.earned[w.kind.name] += worth
}

// probe asks every node that is ready, or gets clients, for routes that were added, removed or never there.
func (c *clients) probe() {
	d := c.d
	if d.w.now >= c.until {
		return
	}
	d.w.after(probeEvery, c.probe)
	names := d.oper.idleNames()
	if len(names) == 0 {
		return
	}
	k := d.idleKind()
	for _, m := range d.machines {
		if c.misses[m] > 0 || !m.node.up || m.dark {
			continue
		}
		path := prefixOf(names[d.w.rnd.IntN(len(names))])
		w := &want{kind: k, zone: m.zone, client: "probe", began: d.w.now, end: d.w.now + k.deadlineUs, path: path}
		d.w.nextID++
		t := &rules.Try{
			ID: idOf(d.w.nextID), Class: "probe", Client: "probe", Zone: m.zone, Machine: m.name, Host: host, Method: "GET", Path: path, Target: path,
			Repeatable: true, Probe: true, Sent: d.w.now, Ended: rules.Never, Deadline: w.end,
		}
		d.journal.Tries = append(d.journal.Tries, t)
		d.w.Judge.Count("probes_of_routes", 1)
		c.connect(w, t, link2{m, m.node.life}, true)
	}
}

func idOf(n uint64) string { return fmt.Sprintf("t-%x", n) }
