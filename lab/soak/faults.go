// The kinds of faults that a run draws, and the schedule of a run.

package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// scheduledFault is one fault of a schedule; at is its start, counted from the start of the schedule.
type scheduledFault struct {
	kind string
	at   time.Duration
	// duration is the nominal length of the fault; seed is the seed for its targets and details.
	duration time.Duration
	seed     uint64
}

// inject injects a fault and returns when the fault is over. Some kinds use a fraction or a multiple of the duration.
type inject func(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration)

// faultKind is a kind of fault, with its weight in the draw of a schedule.
type faultKind struct {
	name   string
	weight int
	do     inject
}

// faultKinds returns all kinds in a fixed order, so that schedules depend on the seed only.
func faultKinds() []faultKind {
	return slices.Concat(processFaults(), coreFaults(), networkFaults(), backendFaults(), operatorFaults(), resourceFaults(), replaceFaults())
}

// meanGap is the default mean time between the starts of two faults; minDuration and maxDuration bound their
// durations.
const (
	meanGap     = 1400 * time.Millisecond
	minDuration = 700 * time.Millisecond
	maxDuration = 5 * time.Second
)

// schedule draws the faults of a run. With the default gap, two or three faults are active most of the time.
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

// kindNamed returns the kind with this name, and panics if there is none.
func kindNamed(name string) faultKind {
	for _, k := range faultKinds() {
		if k.name == name {
			return k
		}
	}
	panic("unknown kind of fault " + name)
}

// sleep waits for the given time or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
