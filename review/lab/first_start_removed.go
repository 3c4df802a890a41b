package main

import (
	"errors"
	"time"
)

func init() { cases["first-start-one-removed"] = firstStartOneRemoved }

// replacement is the machine that replaces machine 2: it is in the same zone and has another address.
const replacement = 5

// firstStartOneRemoved starts a new fleet of three machines within 0.3 s and removes machine 2 permanently during this
// first start. Another machine with the same roles starts 1 s later, at a new address and with an empty disk. The
// operator sends its first configuration until it is acknowledged, and clients send requests.
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
		// The list from which callers choose machines lags by seed_lag_s (3 s).
		f.rec.waitUntil(4.2)
		o.machines = []int{0, 1, replacement}
	}
	return awaitService(f, o, 45*time.Second)
}
