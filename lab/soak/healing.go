// The end of the faults: everything is repaired, and the fleet has to serve, to accept commands and to come to
// rest.

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

// writeSettings writes a process's settings file and records its seeds.
func (r *run) writeSettings(d *daemon, seeds []int, bootstrap, torn bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if seeds == nil {
		seeds = r.seeds[d]
	}
	r.seeds[d] = seeds
	return r.layout.writeSettings(d.machine, d.role, r.layout.settings(d.machine, d.role, seeds, r.fleet.addr, bootstrap), torn)
}

// rewriteSettings writes a process's settings file during the run.
func (r *run) rewriteSettings(d *daemon, seeds []int, torn bool) {
	if err := r.writeSettings(d, seeds, false, torn); err != nil {
		r.addFinding("settings of %s: %v", d.name, err)
	}
}

// recordTorn records that a process's settings file is incomplete: from then on the run excuses an end over
// that, since an incarnation that began meanwhile may end at any time after.
func (r *run) recordTorn(d *daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.torn[d] = true
}

// find records a finding beside the rules.
func (r *run) addFinding(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, fmt.Sprintf(format, args...))
}

// runOperators makes operators change and read the configuration until the run is over.
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

// changeOnce sends one change based on the newest version, without rivals.
func (r *run) changeOnce(ctx context.Context, patch, invalid bool) {
	r.changes.Lock()
	defer r.changes.Unlock()
	text := changeText(completeText)
	switch {
	case invalid:
		text, patch = badText, false
	case patch:
		text = patchText
	}
	r.operators.change(ctx, text, patch, invalid, true, 2)
	r.operators.refresh(ctx)
}

// heal repairs everything and waits until all processes serve again.
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
		r.addFinding("not healed: nodes are not ready %v after the last trouble", time.Since(began).Round(time.Second))
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
		r.addFinding("not healed: no change is taken")
	}
	r.logf("healed after %v", time.Since(began).Round(time.Millisecond))
}

// coreMachines returns the machines that have a core.
func (r *run) coreMachines() (out []int) {
	for _, d := range r.daemons {
		if d.role == roleCore && !d.isRemoved() && d != r.spare {
			out = append(out, d.machine)
		}
	}
	return out
}

// awaitReady waits until every node reports that it is ready.
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

// probeClient is the HTTP client for the run's own processes; connections are not kept.
var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

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

// awaitServing waits until a machine answers a request of a kind with a success.
func (r *run) awaitServing(ctx context.Context, k requestKind, machine int) bool {
	for ctx.Err() == nil {
		if attempt := r.clients.attemptAt(k, machineName(machine)); attempt.Served() {
			return true
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return false
}

// awaitChangeAccepted waits until a change is acknowledged, and reads it back at every core.
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

// readBack reads the configuration at the end, for the rules.
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

// quiesceTimeout is how long after the last request nothing may be in flight any more.
const quiesceTimeout = time.Minute

// inFlightGauges must be 0 in a node at rest.
var inFlightGauges = []string{"wallport_requests_open", "wallport_asks_open", "wallport_bodies_held_bytes"}

// checkQuiescent waits until every node is at rest, and checks its metrics.
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
				r.addFinding("%s is not at rest: %s", machineName(n), left)
				break
			}
			sleep(ctx, 100*time.Millisecond)
		}
	}
}

// inFlight returns the gauges of a node that are not 0.
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
