// The kinds of faults that a run draws, and its schedule.

package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// scheduledFault is one fault and when it begins.
type scheduledFault struct {
	kind string
	at   time.Duration
	// duration is how long it lasts; seed draws whom it hits.
	duration time.Duration
	seed     uint64
}

// inject injects a fault; it returns when the fault is over.
type inject func(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration)

// faultKind is a kind of fault: its weight among the others, and what it does.
type faultKind struct {
	name   string
	weight int
	do     inject
}

// faultKinds returns all kinds, in a fixed order.
func faultKinds() []faultKind {
	return slices.Concat(processFaults(), coreFaults(), networkFaults(), backendFaults(), operatorFaults(), resourceFaults(), replaceFaults())
}

// Times of the schedule.
const (
	meanGap     = 1400 * time.Millisecond
	minDuration = 700 * time.Millisecond
	maxDuration = 5 * time.Second
)

// schedule draws the faults of a run: two or three are active at most times.
func schedule(o Options) []scheduledFault {
	rng := rand.New(rand.NewPCG(o.Seed, 0x736f616b))
	kinds := faultKinds()
	if len(o.Only) > 0 {
		kinds = slices.DeleteFunc(kinds, func(k faultKind) bool { return !slices.Contains(o.Only, k.name) })
	}
	sum := 0
	for _, k := range kinds {
		sum += k.weight
	}
	var out []scheduledFault
	gap := float64(cmp.Or(o.Gap, meanGap))
	for at := time.Second; at < o.For && sum > 0; at += time.Duration(rng.ExpFloat64() * gap) {
		n := rng.IntN(sum)
		i := 0
		for n >= kinds[i].weight {
			n -= kinds[i].weight
			i++
		}
		duration := minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration)))
		out = append(out, scheduledFault{kind: kinds[i].name, at: at, duration: duration, seed: rng.Uint64()})
	}
	return out
}

// kindNamed returns a kind by its name.
func kindNamed(name string) faultKind {
	for _, k := range faultKinds() {
		if k.name == name {
			return k
		}
	}
	panic("no kind of trouble " + name)
}

// sleep waits for the given time, or until the run is over.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
