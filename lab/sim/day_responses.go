// How clients handle responses: the value that they credit, and whether they retry. The file also sends the probes of
// idle routes.

package sim

import (
	"fmt"

	"wallport/lab/rules"
	"wallport/request/dispatch"
)

// responded is called when the last byte of a response arrives at the client.
func (c *clients) responded(call *clientCall, attempt *rules.Attempt, to nodeConn, o *dispatch.Outcome) {
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
	d.sim.logEvent(attempt.Machine + " " + attempt.ID + " " + attempt.Class + " " + string(o.Code) + " " + o.Reason)
	d.sim.Checker.Count("outcome."+string(o.Code), 1)
	if g := d.gateways[to.machine.node]; g != nil && !g.draining && !g.closed && !attempt.Probe && d.sim.rng.IntN(3) > 0 {
		c.conns[call.client] = to
	} else {
		delete(c.conns, call.client)
	}
	c.ended(call, attempt, false)
}

// ended is called when an attempt ends. unread is set if the client knows that the node has not read the request,
// so that even a request that may run only once can be retried.
func (c *clients) ended(call *clientCall, attempt *rules.Attempt, unread bool) {
	d := c.day
	if attempt.Ended != rules.Never {
		return
	}
	attempt.Ended = d.sim.now
	if attempt.Probe || call.ended {
		return
	}
	if attempt.Served() {
		call.ended = true
		c.creditValue(call, attempt)
		return
	}
	if attempt.Status == 0 {
		d.sim.Checker.Count("outcome.none", 1)
	}
	left := call.end - d.sim.now
	willRetry := left > 0 && call.attemptsLeft > 0 && (attempt.Status == 0 || retried(attempt.Status))
	if !attempt.Repeatable {
		willRetry = willRetry && (unread || attempt.Status == 429 || attempt.Status == 503 || attempt.Status == 408 || attempt.Status == 421)
	}
	if !willRetry {
		call.ended = true
		d.sim.Checker.Count("unserved", 1)
		return
	}
	wait := min(attempt.RetryAfterUs, left/3)
	if call.eager {
		wait = 0
	}
	if attempt.Status == 503 && call.refusedAt == 0 {
		call.refusedAt = d.sim.now
	}
	d.sim.after(wait, func() { c.sendAttempt(call) })
}

// retried reports whether a response with this status may be retried.
func retried(status int) bool {
	switch status {
	case 400, 401, 404, 413, 431:
		return false
	}
	return status >= 300
}

// creditValue credits the value of a response. A response after the target latency has a lower value, and a partial
// one is worth the square of its share of the shards.
func (c *clients) creditValue(call *clientCall, attempt *rules.Attempt) {
	d := c.day
	d.sim.Checker.Count("served", 1)
	value := call.kind.lateValue
	if d.sim.now-call.began <= call.kind.targetUs {
		value = call.kind.value
		d.sim.Checker.Count("in_aim", 1)
	}
	if n := len(attempt.Seals); n > 0 {
		if attempt.Missing > 0 {
			d.sim.Checker.Count("partial", 1)
		}
		share := float64(n) / float64(n+attempt.Missing)
		value *= share * share
	}
	c.earned[call.kind.name] += value
}

// sendProbe sends every ready node a request for a random idle route: one that was added, one that has been
// removed, or one that has never existed.
func (c *clients) sendProbe() {
	d := c.day
	if d.sim.now >= c.until {
		return
	}
	d.sim.after(probeInterval, c.sendProbe)
	names := d.commands.idleNames()
	if len(names) == 0 {
		return
	}
	kind := d.idleKind()
	for _, m := range d.machines {
		if c.misses[m] > 0 || !m.node.up || m.poweredOff {
			continue
		}
		path := prefixOf(names[d.sim.rng.IntN(len(names))])
		call := &clientCall{kind: kind, zone: m.zone, client: "probe", began: d.sim.now, end: d.sim.now + kind.deadlineUs, path: path}
		d.sim.nextID++
		attempt := &rules.Attempt{
			ID: idOf(d.sim.nextID), Class: "probe", Client: "probe", Zone: m.zone, Machine: m.name, Host: host, Method: "GET", Path: path, Target: path,
			Repeatable: true, Probe: true, Sent: d.sim.now, Ended: rules.Never, Deadline: call.end,
		}
		d.journal.Attempts = append(d.journal.Attempts, attempt)
		d.sim.Checker.Count("probes_of_routes", 1)
		c.connect(call, attempt, nodeConn{m, m.node.incarnation}, true)
	}
}

func idOf(n uint64) string { return fmt.Sprintf("t-%x", n) }
