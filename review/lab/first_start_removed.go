package main

import (
	"errors"
	"time"
)

func init() { cases["first-start-one-removed"] = firstStartOneRemoved }

// replacement is the machine that takes the place of machine 2, in its zone, at an address of its own.
const replacement = 5

// firstStartOneRemoved starts a fleet of three machines for the first time, within 0.3 s, and removes machine 2 for good
// while it starts. Another machine with the same roles, at a new address and with an empty disk, is there 1 s later. The
// operator sends its first configuration until it is taken, and clients send requests.
func firstStartOneRemoved(f *fleet, disrupt bool) error {
	if err := serveOneBackend(f); err != nil {
		return err
	}
	if err := f.startMachine(2, true); err != nil {
		return err
	}
	f.rec.waitUntil(0.2)
	if disrupt {
		f.kill(2, roleCore)
		f.kill(2, roleNode)
	}
	if err := errors.Join(f.startMachine(0, true), f.startMachine(1, true)); err != nil {
		return err
	}
	o := newOperator(f)
	if disrupt {
		f.rec.waitUntil(1.2)
		if err := f.startMachine(replacement, false); err != nil {
			return err
		}
		// The list that callers choose from lags by seed_lag_s.
		f.rec.waitUntil(4.2)
		o.machines = []int{0, 1, replacement}
	}
	return awaitService(f, o, 45*time.Second)
}
