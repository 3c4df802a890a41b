// Check, which runs all rules over a journal, and the helpers that the rules share.

package rules

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"wallport/api/routingpb"
	"wallport/runtime/clock"
)

// Check runs every rule over the journal and fills in Findings, Tested and Broken.
func (j *Journal) Check() {
	j.Findings, j.Tested, j.Broken = nil, map[string]int64{}, map[string]int64{}
	j.attempts, j.arrivalsByAttempt = make(map[string]*Attempt, len(j.Attempts)), make(map[string][]*Arrival, len(j.Attempts))
	for _, attempt := range j.Attempts {
		j.attempts[attempt.ID] = attempt
	}
	for _, a := range j.Arrivals {
		j.arrivalsByAttempt[a.Attempt] = append(j.arrivalsByAttempt[a.Attempt], a)
	}
	for _, rule := range []func(*Journal){
		mixed, unasked, twice, refused, denied, route, drain, lost,
		configHandled, configInForce, configRaces, configRevisions, configRepeats, configRead, budget, furtherBackends, failback, evac, recovered, acks, histories,
	} {
		rule(j)
	}
}

// maxFindingsPerRule is the maximum number of findings kept per rule; Broken counts all violations.
const maxFindingsPerRule = 3

func (j *Journal) fail(rule string, at clock.Micros, text string, args ...any) {
	j.Broken[rule]++
	if j.Broken[rule] > maxFindingsPerRule {
		return
	}
	j.Findings = append(j.Findings, Finding{rule, at, fmt.Sprintf(text, args...)})
}

func (j *Journal) tested(rule string) { j.Tested[rule]++ }

// routeOf returns a table's route for a host and a path: the one with the longest matching prefix, nil if none
// matches.
func routeOf(t *routingpb.RoutingTable, host, path string) *routingpb.Route {
	var best *routingpb.Route
	for _, r := range t.GetRoutes() {
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// poolsOf returns the pools to which a route may send a request.
func poolsOf(r *routingpb.Route) []string {
	switch {
	case r == nil:
		return nil
	case len(r.FanoutPools) > 0:
		return shardsOf(r)
	case len(r.PoolWeights) > 0:
		var out []string
		for _, w := range r.PoolWeights {
			if w.Weight > 0 {
				out = append(out, w.Pool)
			}
		}
		return out
	}
	return []string{r.Pool}
}

// shardsOf returns the set of pools to which a route fans out. A pool that the list names twice is one shard.
func shardsOf(r *routingpb.Route) []string {
	var out []string
	for _, p := range r.FanoutPools {
		if !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

// allows reports whether a table may send a request for a host and a path to a pool.
func allows(t *routingpb.RoutingTable, host, path, pool string) bool {
	for _, p := range poolsOf(routeOf(t, host, path)) {
		if p == pool {
			return true
		}
	}
	return false
}

// mayBeInForce reports whether a version may be in force at a time: it was sent at or before that time, is valid and
// was never refused.
func (version *Version) mayBeInForce(at clock.Micros) bool {
	return version.Table != nil && !version.Invalid && version.Refused == Never && version.Sent <= at
}

// newestAcked returns the newest version that was acknowledged at or before a time, nil if there is none.
func (j *Journal) newestAcked(at clock.Micros) *Version {
	var best *Version
	for _, version := range j.Versions {
		if version.Acked <= at && (best == nil || version.Revision > best.Revision) {
			best = version
		}
	}
	return best
}

// promisesNotRun reports whether a status guarantees that the request has not run and never will.
func promisesNotRun(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

func same(a, b []byte) bool { return bytes.Equal(a, b) }
