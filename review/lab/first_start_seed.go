package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["first-start-seed-killed"] = firstStartSeedKilled }

// firstStartSeedKilled starts a new fleet of three machines within 0.3 s and kills the core of the first machine, a
// seed, during this first start. The core is restarted half a second later with the settings that are in effect at that
// time, in which bootstrap is false. The operator sends its first configuration until it is acknowledged, and clients
// send requests.
func firstStartSeedKilled(f *fleet, disrupt bool) error {
	if err := serveOneBackend(f); err != nil {
		return err
	}
	if err := f.startMachine(0, true); err != nil {
		return err
	}
	f.rec.waitUntil(0.2)
	if disrupt {
		f.kill(0, roleCore)
	}
	if err := errors.Join(f.startMachine(1, true), f.startMachine(2, true)); err != nil {
		return err
	}
	if disrupt {
		f.rec.waitUntil(0.7)
		if err := f.start(0, roleCore, false); err != nil {
			return err
		}
	}
	return awaitService(f, newOperator(f), 45*time.Second)
}

// awaitService sends the first configuration until it is acknowledged, and requests to all machines, until 10 requests
// were served or until the timeout. It returns errBroken if the configuration was not acknowledged or no request was
// served.
func awaitService(f *fleet, o *operator, timeout time.Duration) error {
	c, status, sent, served := &client{f: f}, 0, 0, 0
	for end := time.Now().Add(timeout); time.Now().Before(end) && served < 10; {
		if status != http.StatusOK {
			status = o.submit(0, http.MethodPut, "/-/config", 0, []byte(firstConfig), 4*time.Second)
		}
		for _, machine := range o.machines {
			sent++
			if c.once(machine, http.MethodGet, "file10.example", "/one/a", "", time.Second).status == http.StatusOK {
				served++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	if status != http.StatusOK || served == 0 {
		return fmt.Errorf("%w: the last status for the first configuration was %d, want 200, and %d of %d requests were served in %.0f s",
			errBroken, status, served, sent, f.rec.elapsed())
	}
	return nil
}

// serveOneBackend starts one healthy backend and the platform's list with this backend.
func serveOneBackend(f *fleet) error {
	p, b := &platform{}, &backend{rec: f.rec, id: "i-one", ran: &sync.Map{}, work: func() time.Duration { return 5 * time.Millisecond }}
	p.setMember(member{ID: b.id, Pool: "p-one", Address: f.backendAddress(1), Zone: f.zones[0], Revision: "v1", Capacity: 4, AdminState: "in_service"})
	return errors.Join(p.serve(f.platformAddress()), serveHTTP(f.backendAddress(1), b))
}
