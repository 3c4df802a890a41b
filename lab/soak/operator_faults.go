// What operators do, beside the changes that go on all the time.

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

// configRace has operators change the same version at once.
func configRace(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	r.changes.Lock()
	defer r.changes.Unlock()
	r.operators.race(context.WithoutCancel(ctx), 2+drawn.IntN(3))
}

// stormChanges is how many changes a storm has.
const stormChanges = 8

// configStorm sends changes one right after another. As everywhere here, an order that has been given is
// carried on to its answer though the troubles are over: one that nobody sends any more gets none.
func configStorm(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	for n := 0; n < stormChanges && ctx.Err() == nil; n++ {
		r.changeOnce(context.WithoutCancel(ctx), drawn.IntN(2) == 0, false)
	}
}

func configInvalid(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	r.changeOnce(context.WithoutCancel(ctx), false, true)
}

// loseAcks loses most answers on their way to the operators.
func loseAcks(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	r.operators.acksToLose.Add(700)
	defer r.operators.acksToLose.Add(-700)
	sleep(ctx, lasts)
}

func evacuate(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	r.zones.Lock()
	defer r.zones.Unlock()
	r.operators.evacuate(ctx, zoneOf(drawn.IntN(zoneCount)), lasts+2*time.Second)
}
