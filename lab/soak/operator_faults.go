// Operators' actions beside the changes that go on all the time.

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

// configRace makes operators change the same version at once.
func configRace(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	r.changes.Lock()
	defer r.changes.Unlock()
	r.operators.race(context.WithoutCancel(ctx), 2+rng.IntN(3))
}

// stormChanges is how many changes a storm has.
const stormChanges = 8

// configStorm sends changes one right after another. As everywhere here, a command is repeated until its answer
// even if the fault is over meanwhile.
func configStorm(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	for n := 0; n < stormChanges && ctx.Err() == nil; n++ {
		r.changeOnce(context.WithoutCancel(ctx), rng.IntN(2) == 0, false)
	}
}

func configInvalid(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	r.changeOnce(context.WithoutCancel(ctx), false, true)
}

// loseAcks drops most answers on their way to the operators.
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
