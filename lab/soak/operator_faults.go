// Faults of operators: concurrent, frequent and invalid changes, lost responses and evacuations, in addition to the
// changes that runOperators always sends.

package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

func operatorFaults() []faultKind {
	return []faultKind{
		{"config_race", 4, configRace},
		{"config_storm", 2, configStorm},
		{"config_invalid", 2, configInvalid},
		{"answers_lost", 3, loseAcks},
		{"evacuate", 4, evacuate},
	}
}

// configRace makes several operators change the same version concurrently.
func configRace(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	r.changes.Lock()
	defer r.changes.Unlock()
	r.operators.race(context.WithoutCancel(ctx), 2+rng.IntN(3))
}

// stormChanges is the number of changes in a storm.
const stormChanges = 8

// configStorm sends changes without a pause. Like all commands in this file, each change is repeated until its response
// is final, even if the context ends earlier.
func configStorm(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	for n := 0; n < stormChanges && ctx.Err() == nil; n++ {
		r.changeOnce(context.WithoutCancel(ctx), rng.IntN(2) == 0, false)
	}
}

func configInvalid(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	r.changeOnce(context.WithoutCancel(ctx), false, true)
}

// loseAcks discards most responses to operators: it raises the share of lost responses by 700 in a thousand.
func loseAcks(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	r.operators.acksToLose.Add(700)
	defer r.operators.acksToLose.Add(-700)
	sleep(ctx, duration)
}

func evacuate(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	r.zones.Lock()
	defer r.zones.Unlock()
	r.operators.evacuate(ctx, zoneOf(rng.IntN(zoneCount)), duration+2*time.Second)
}
