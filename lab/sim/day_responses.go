// What clients do with their responses: the value they credit, and whether they retry.

package sim

import (
	"fmt"

	"wallport/lab/rules"
	"wallport/request/dispatch"
)

// responded is called when the response's last byte is at the client.
func (c *clients) responded(wanted *wantedRequest, attempt *rules.Attempt, to nodeConn, o *dispatch.Outcome) {
	d := c.day
	if attempt.Ended != rules.Never {
		return
	}
	attempt.Status, attempt.RetryAfterUs, attempt.Missing, attempt.Seals = o.Status, o.RetryAfter, o.Missing, o.Seals
	switch {
	case o.Response != nil:
		attempt.Seal, attempt.Answer = o.Response.Seal, o.Response.Body
	case len(o.Seals) > 0:
		attempt.Answer = o.Body
	default:
		attempt.Generated = true
	}
	d.world.logEvent(attempt.Machine + " " + attempt.ID + " " + attempt.Class + " " + string(o.Code) + " " + o.Reason)
	d.world.Checker.Count("outcome."+string(o.Code), 1)
	if g := d.gateways[to.machine.node]; g != nil && !g.draining && !g.closed && !attempt.Probe && d.world.rng.IntN(3) > 0 {
		c.conns[wanted.client] = to
	} else {
		delete(c.conns, wanted.client)
	}
	c.ended(wanted, attempt, false)
}

// ended is called when an attempt ends; unread reports that the client knows that the node has not read it.
func (c *clients) ended(wanted *wantedRequest, attempt *rules.Attempt, unread bool) {
	d := c.day
	if attempt.Ended != rules.Never {
		return
	}
	attempt.Ended = d.world.now
	if attempt.Probe || wanted.ended {
		return
	}
	if attempt.Served() {
		wanted.ended = true
		c.creditValue(wanted, attempt)
		return
	}
	if attempt.Status == 0 {
		d.world.Checker.Count("outcome.none", 1)
	}
	left := wanted.end - d.world.now
	again := left > 0 && wanted.attemptsLeft > 0 && (attempt.Status == 0 || retried(attempt.Status))
	if !attempt.Repeatable {
		again = again && (unread || attempt.Status == 429 || attempt.Status == 503 || attempt.Status == 408 || attempt.Status == 421)
	}
	if !again {
		wanted.ended = true
		d.world.Checker.Count("unserved", 1)
		return
	}
	wait := min(attempt.RetryAfterUs, left/3)
	if wanted.eager {
		wait = 0
	}
	if attempt.Status == 503 && wanted.refusedAt == 0 {
		wanted.refusedAt = d.world.now
	}
	d.world.after(wait, func() { c.sendAttempt(wanted) })
}

// retried reports whether a status may be retried at all.
func retried(status int) bool {
	switch status {
	case 400, 401, 404, 413, 431:
		return false
	}
	return status >= 300
}

// creditValue counts the value of a response.
func (c *clients) creditValue(wanted *wantedRequest, attempt *rules.Attempt) {
	d := c.day
	d.world.Checker.Count("served", 1)
	worth := wanted.kind.late
	if d.world.now-wanted.began <= wanted.kind.targetUs {
		worth = wanted.kind.value
		d.world.Checker.Count("in_aim", 1)
	}
	if n := len(attempt.Seals); n > 0 {
		if attempt.Missing > 0 {
			d.world.Checker.Count("partial", 1)
		}
		share := float64(n) / float64(n+attempt.Missing)
		worth *= share * share
	}
	c.earned[wanted.kind.name] += worth
}

// sendProbe asks every node that is ready or gets clients for routes that were added, removed or never existed.
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
	kind := d.idleKind()
	for _, m := range d.machines {
		if c.misses[m] > 0 || !m.node.up || m.poweredOff {
			continue
		}
		path := prefixOf(names[d.world.rng.IntN(len(names))])
		wanted := &wantedRequest{kind: kind, zone: m.zone, client: "probe", began: d.world.now, end: d.world.now + kind.deadlineUs, path: path}
		d.world.nextID++
		attempt := &rules.Attempt{
			ID: idOf(d.world.nextID), Class: "probe", Client: "probe", Zone: m.zone, Machine: m.name, Host: host, Method: "GET", Path: path, Target: path,
			Repeatable: true, Probe: true, Sent: d.world.now, Ended: rules.Never, Deadline: wanted.end,
		}
		d.journal.Attempts = append(d.journal.Attempts, attempt)
		d.world.Checker.Count("probes_of_routes", 1)
		c.connect(wanted, attempt, nodeConn{m, m.node.incarnation}, true)
	}
}

func idOf(n uint64) string { return fmt.Sprintf("t-%x", n) }
