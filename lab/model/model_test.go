// The bounded exploration and the random walks that CI runs. cmd/lab runs longer explorations and walks.

package model

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

// maxStates bounds the exploration of each configuration; all configurations are explored completely within it. With
// -short, which CI uses for an additional run under the race detector, only the first maxStatesShort states are
// explored.
const (
	maxStates      = 100_000
	maxStatesShort = 1_500
)

// unlimitedDepth is a depth that no configuration reaches.
const unlimitedDepth = 1_000

func TestInvariantsHoldWithinBound(t *testing.T) {
	for _, c := range Configs() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			x := NewExplorer(c)
			bound := Bound{Depth: unlimitedDepth, States: maxStates}
			if testing.Short() {
				bound.States = maxStatesShort
			}
			r := x.Explore(bound)
			t.Logf("%s: %v", c.Name, r)
			if r.Failure != nil {
				t.Fatal(r.Failure)
			}
			if testing.Short() {
				return
			}
			must.True(t, r.Complete, must.Sprint("the exploration must be complete, but it stopped at the bound on states"))
			assertProvoked(t, x)
		})
	}
}

// assertProvoked fails if an exploration never reached the events that its configuration is meant to provoke: the
// test would otherwise pass without having tested these events.
func assertProvoked(t *testing.T, x *Explorer) {
	t.Helper()
	must.Positive(t, x.Seen.Leaders)
	must.Positive(t, x.Seen.Commits)
	if x.Budget.Calls > 0 {
		must.Positive(t, x.Seen.Acknowledged)
	}
	if len(x.IsolatedAtStart) > 0 && x.Standbys > 0 || x.Budget.LostDisks > 0 {
		must.Positive(t, x.Seen.MemberChanges)
	}
	if len(x.operators) > 1 && x.Operators[1][0].Kind == ReadCommand {
		must.Positive(t, x.Seen.Reads)
	}
}

func TestExplorationReplays(t *testing.T) {
	c := Configs()[0]
	bound := Bound{Depth: unlimitedDepth, States: maxStates}
	must.Eq(t, NewExplorer(c).Explore(bound), NewExplorer(c).Explore(bound))
}

func TestRandomWalks(t *testing.T) {
	r, err := RandomWalkConfig(4).Walks(1, 20, 300)
	must.NoError(t, err)
	t.Logf("%d walks, %d steps", r.Walks, r.Steps)
	if r.Failure != nil {
		t.Fatalf("seed %d: %v", r.Seed, r.Failure)
	}
}

func TestWalkReplays(t *testing.T) {
	c := RandomWalkConfig(4)
	first, second := NewExplorer(c), NewExplorer(c)
	a, err := first.walkTo(7, 200)
	must.NoError(t, err)
	b, err := second.walkTo(7, 200)
	must.NoError(t, err)
	must.Eq(t, a.schedule(), b.schedule())
}

// Two histories that are merged into one state of a replica must have the same continuation. If the continuations
// differ, the fingerprint omits a field that affects the replica's behaviour.
func TestEqualFingerprintsBehaveAlike(t *testing.T) {
	c := Configs()[4]
	x := NewExplorer(c)
	checked := 0
	x.runtime.merged = func(known, other *process) {
		checked++
		if checked%mergeSample != 0 {
			return
		}
		at := max(known.at, other.at)
		must.Eq(t, x.continuation(known, at), x.continuation(other, at))
	}
	x.Explore(Bound{Depth: unlimitedDepth, States: maxStates})
	must.Greater(t, 10*mergeSample, checked)
}

// mergeSample is the sampling interval: one merge in mergeSample is checked.
const mergeSample = 10

// continuation rebuilds a process from its history, then completes its pending writes at the given time and fires
// its timers at four later times. It returns a digest of the state and of the sent frames after each input.
func (x *Explorer) continuation(p *process, at clock.Micros) (prints []digest) {
	k := newRuntime().kernelFor(p)
	feed := func(input kernel.Input) {
		fixRandom(k, p.replica, p.incarnation)
		out := k.Step(at, epoch+at, input)
		b := fingerprint(replicaOf(k))
		for _, send := range out.Sends {
			b = append(b, send.Data...)
		}
		prints = append(prints, digestOf(b))
	}
	for _, wr := range p.writes {
		feed(kernel.Written{Plugin: pluginName, Key: wr.key})
	}
	for range 4 {
		at += int64(electionSpan)
		for _, t := range p.timers {
			feed(kernel.Tick{Plugin: t.plugin, Key: t.key})
		}
	}
	return prints
}
