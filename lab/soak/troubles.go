// The kinds of troubles that a run draws.

package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// trouble is one trouble at its time.
type trouble struct {
	kind string
	at   time.Duration
	// lasts is how long it goes on; seed draws whom it meets.
	lasts time.Duration
	seed  uint64
}

// act brings a trouble about; it returns when the trouble is over.
type act func(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration)

// kindOf is a kind of trouble: how often it is drawn beside the others, and what it does.
type kindOf struct {
	name   string
	weight int
	do     act
}

// troubleKinds are all kinds, in a fixed order.
func troubleKinds() []kindOf {
	return slices.Concat(processTroubles(), coreTroubles(), networkTroubles(), backendTroubles(), operatorTroubles(), resourceTroubles(), replaceTroubles())
}

// Times of the schedule.
const (
	gapMean    = 1400 * time.Millisecond
	lastsLeast = 700 * time.Millisecond
	lastsMost  = 5 * time.Second
)

// schedule draws the troubles of a run: two or three are under way at most times.
func schedule(o Options) []trouble {
	drawn := rand.New(rand.NewPCG(o.Seed, 0x736f616b))
	kinds := troubleKinds()
	if len(o.Only) > 0 {
		kinds = slices.DeleteFunc(kinds, func(k kindOf) bool { return !slices.Contains(o.Only, k.name) })
	}
	sum := 0
	for _, k := range kinds {
		sum += k.weight
	}
	var out []trouble
	gap := float64(cmp.Or(o.Gap, gapMean))
	for at := time.Second; at < o.For && sum > 0; at += time.Duration(drawn.ExpFloat64() * gap) {
		n := drawn.IntN(sum)
		i := 0
		for n >= kinds[i].weight {
			n -= kinds[i].weight
			i++
		}
		lasts := lastsLeast + time.Duration(drawn.Int64N(int64(lastsMost-lastsLeast)))
		out = append(out, trouble{kind: kinds[i].name, at: at, lasts: lasts, seed: drawn.Uint64()})
	}
	return out
}

// kindNamed is a kind by its name.
func kindNamed(name string) kindOf {
	for _, k := range troubleKinds() {
		if k.name == name {
			return k
		}
	}
	panic("no kind of trouble " + name)
}

// sleep waits, or until the run is over.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
