// The bounded part of the exploration, as CI runs it; cmd/lab has the long one.

package model

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

// statesMost bounds each configuration; all of them end within it. A short run, which CI makes with
// the race detector beside the whole one, looks at the first statesShort alone.
const (
	statesMost  = 100_000
	statesShort = 1_500
)

// everySchedule is a depth that no bounded configuration reaches.
const everySchedule = 1_000

func TestInvariantsHoldWithinBound(t *testing.T) {
	for _, c := range Configs() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			w := NewWorld(c)
			bound := Bound{Depth: everySchedule, States: statesMost}
			if testing.Short() {
				bound.States = statesShort
			}
			r := w.Explore(bound)
			t.Logf("%s: %v", c.Name, r)
			if r.Failure != nil {
				t.Fatal(r.Failure)
			}
			if testing.Short() {
				return
			}
			must.True(t, r.Complete, must.Sprint("states were left out"))
			broughtAbout(t, w)
		})
	}
}

// broughtAbout: a configuration that never comes to what it is there for proves nothing.
func broughtAbout(t *testing.T, w *World) {
	t.Helper()
	must.Positive(t, w.Seen.Leaders)
	must.Positive(t, w.Seen.Commits)
	if w.Budget.Calls > 0 {
		must.Positive(t, w.Seen.Acknowledged)
	}
	if len(w.Away) > 0 && w.Standbys > 0 || w.Budget.LostDisks > 0 {
		must.Positive(t, w.Seen.MemberChanges)
	}
	if len(w.operators) > 1 && w.Operators[1][0].Kind == ReadCommand {
		must.Positive(t, w.Seen.Reads)
	}
}

func TestExplorationReplays(t *testing.T) {
	c := Configs()[0]
	bound := Bound{Depth: everySchedule, States: statesMost}
	must.Eq(t, NewWorld(c).Explore(bound), NewWorld(c).Explore(bound))
}

func TestRandomWalks(t *testing.T) {
	r, err := Everything(4).Walks(1, 20, 300)
	must.NoError(t, err)
	t.Logf("%d walks, %d steps", r.Walks, r.Steps)
	if r.Failure != nil {
		t.Fatalf("seed %d: %v", r.Seed, r.Failure)
	}
}

func TestWalkReplays(t *testing.T) {
	c := Everything(4)
	first, second := NewWorld(c), NewWorld(c)
	a, err := first.walkTo(7, 200)
	must.NoError(t, err)
	b, err := second.walkTo(7, 200)
	must.NoError(t, err)
	must.Eq(t, a.schedule(), b.schedule())
}

// Two histories that are taken for one state of a replica must go on alike: the fingerprint
// would leave something out otherwise.
func TestEqualFingerprintsBehaveAlike(t *testing.T) {
	c := Configs()[4]
	w := NewWorld(c)
	checked := 0
	w.runtime.merged = func(known, other *process) {
		checked++
		if checked%mergeSample != 0 {
			return
		}
		at := max(known.at, other.at)
		must.Eq(t, w.after(known, at), w.after(other, at))
	}
	w.Explore(Bound{Depth: everySchedule, States: statesMost})
	must.Greater(t, 10*mergeSample, checked)
}

// mergeSample is that one merge in so many is checked.
const mergeSample = 10

// after runs a process anew from its history, and then on, from a time, through writes and timers.
func (w *World) after(p *process, at clock.Micros) (prints []digest) {
	k := newRuntime().wake(p)
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
