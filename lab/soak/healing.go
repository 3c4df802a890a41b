// The end of a run: all faults are repaired, and the fleet must then serve requests, accept commands and finally
// have nothing in flight.

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wallport/lab/rules"
)

// writeSettings writes a process's settings file and records its seeds; nil seeds keep the present seeds.
func (r *run) writeSettings(d *daemon, seeds []int, bootstrap, torn bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if seeds == nil {
		seeds = r.seeds[d]
	}
	r.seeds[d] = seeds
	return r.layout.writeSettings(d.machine, d.role, r.layout.settings(d.machine, d.role, seeds, r.fleet.addr, bootstrap), torn)
}

// rewriteSettings writes a process's settings file during the run; an error becomes a finding.
func (r *run) rewriteSettings(d *daemon, seeds []int, torn bool) {
	if err := r.writeSettings(d, seeds, false, torn); err != nil {
		r.addFinding("writing the settings of %s failed: %v", d.name, err)
	}
}

// recordTorn records that a process's settings file is incomplete. Until the end of the run, exits of the process
// because of its settings are expected: an incarnation that started while the file was incomplete may exit at any later
// time.
func (r *run) recordTorn(d *daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.torn[d] = true
}

// addFinding records a finding that is not a violation of a rule.
func (r *run) addFinding(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, fmt.Sprintf(format, args...))
}

// runOperators changes and reads the configuration at random intervals until the context ends.
func (r *run) runOperators(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 0x6f7065))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(200+rng.IntN(800))*time.Millisecond)
		if rng.IntN(3) == 0 {
			r.changeOnce(ctx, rng.IntN(2) == 0, false)
		}
		r.operators.readAll(ctx)
	}
}

// changeOnce sends one change based on the newest version, without concurrent changes. Every second complete
// configuration has an extreme value.
func (r *run) changeOnce(ctx context.Context, patch, invalid bool) {
	r.changes.Lock()
	defer r.changes.Unlock()
	text := changeText(completeText)
	r.changeCount++
	if r.changeCount%2 == 0 {
		text = extremeText
	}
	switch {
	case invalid:
		text, patch = badText, false
	case patch:
		text = patchText
	}
	r.operators.change(ctx, text, patch, invalid, true, 2)
	r.operators.refresh(ctx)
}

// heal repairs all faults and waits until every node serves every kind of request and the cores accept a change. Each
// node, kind of request or change that still fails after startupTimeout becomes a finding.
func (r *run) heal(ctx context.Context) {
	r.network.HealAll()
	seeds := r.coreMachines()
	for _, d := range r.daemons {
		d.setDown(false)
		r.rewriteSettings(d, seeds, false)
	}
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	began := time.Now()
	if !r.awaitReady(ctx) {
		r.addFinding("not healed: nodes are not ready %v after the last fault", time.Since(began).Round(time.Second))
		return
	}
	for _, k := range requestKinds {
		for n := range machineCount {
			if !r.awaitServing(ctx, k, n) {
				r.addFinding("not healed: %s does not serve %s", machineName(n), k.name)
			}
		}
	}
	if !r.awaitChangeAccepted(ctx) {
		r.addFinding("not healed: no configuration change is accepted")
	}
	r.logf("healed after %v", time.Since(began).Round(time.Millisecond))
}

// coreMachines returns the machines that have a core at present.
func (r *run) coreMachines() (out []int) {
	for _, d := range r.daemons {
		if d.role == roleCore && !d.isRemoved() && d != r.spare {
			out = append(out, d.machine)
		}
	}
	return out
}

// awaitReady waits until every node reports that it is ready; false means that the context ended first.
func (r *run) awaitReady(ctx context.Context) bool {
	for n := range machineCount {
		url := "http://" + r.layout.at(n, portReadiness) + "/-/readiness"
		for !respondsOK(ctx, url) {
			if ctx.Err() != nil {
				return false
			}
			sleep(ctx, 50*time.Millisecond)
		}
	}
	return true
}

// probeClient is the HTTP client for readiness checks and metrics. It does not reuse connections.
var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// respondsOK reports whether a GET of the URL returns status 200.
func respondsOK(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := probeClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitServing waits until a machine serves a request of a kind; false means that the context ended first.
func (r *run) awaitServing(ctx context.Context, k requestKind, machine int) bool {
	for ctx.Err() == nil {
		if attempt := r.clients.attemptAt(k, machineName(machine)); attempt.Served() {
			return true
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return false
}

// awaitChangeAccepted first stops the simulated loss of acknowledgements, then waits until a change is acknowledged and
// reads the configuration back. False means that the context ended first or that the read failed.
func (r *run) awaitChangeAccepted(ctx context.Context) bool {
	r.operators.acksToLose.Store(0)
	r.operators.refresh(ctx)
	r.operators.mu.Lock()
	before := r.operators.newestRevision
	r.operators.mu.Unlock()
	for ctx.Err() == nil {
		r.changeOnce(ctx, false, false)
		r.operators.mu.Lock()
		after := r.operators.newestRevision
		r.operators.mu.Unlock()
		if after > before {
			return r.readBack(ctx)
		}
	}
	return false
}

// readBack reads the final configuration from a core and records it, so that the rules check it against the
// acknowledged changes.
func (r *run) readBack(ctx context.Context) bool {
	sentAt := r.journal.now()
	got := r.operators.sendUntilFinal(ctx, http.MethodGet, configPath, "", "", func(int64) {})
	if got.status != http.StatusOK {
		return false
	}
	at := r.journal.now()
	r.journal.withLock(func() {
		r.journal.ReadBack = append(r.journal.ReadBack, rules.Reading{RequestedAt: sentAt, At: at, Table: readTable(got.body)})
	})
	return true
}

// quiesceTimeout bounds the time after the last request until nothing is in flight any more.
const quiesceTimeout = time.Minute

// inFlightGauges are the gauges that must be 0 when a node has nothing in flight.
var inFlightGauges = []string{"wallport_requests_open", "wallport_asks_open", "wallport_bodies_held_bytes"}

// checkQuiescent waits until no node has anything in flight, and checks the nodes' invariant counters.
func (r *run) checkQuiescent(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quiesceTimeout)
	defer cancel()
	for n := range machineCount {
		left := ""
		for {
			if left = r.inFlight(n); left == "" {
				break
			}
			if ctx.Err() != nil {
				r.addFinding("%s still has requests in flight: %s", machineName(n), left)
				break
			}
			sleep(ctx, 100*time.Millisecond)
		}
	}
}

// inFlight returns the in-flight gauges of a node that are not 0, or an error text, and records each violated
// invariant as a finding.
func (r *run) inFlight(machine int) string {
	resp, err := probeClient.Get("http://" + r.layout.at(machine, portNodeOperator) + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	var out []string
	for name, value := range readMetrics(resp.Body) {
		for _, g := range inFlightGauges {
			if name == g && value != "0" {
				out = append(out, name+"="+value)
			}
		}
		if n, _ := strconv.Atoi(value); strings.HasPrefix(name, "wallport_invariant_violations") && n > 0 {
			r.addFinding("%s: %s %s", machineName(machine), name, value)
		}
	}
	return strings.Join(out, " ")
}
