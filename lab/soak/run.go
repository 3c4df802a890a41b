// One run: starts all processes, injects the scheduled faults, repairs them, and checks the observations.

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"wallport/lab/relay"
	"wallport/runtime/clock"
)

// run is the state of one run.
type run struct {
	options   Options
	journal   *journal
	layout    *layout
	network   *relay.Network
	fleet     *fleet
	daemons   []*daemon
	clients   *clients
	operators *operators
	coreGate  coreFaultGate
	// changes serialises the operators' configuration changes, zones the evacuations.
	changes, zones sync.Mutex
	// changeCount counts the single changes; changes guards it.
	changeCount int

	mu sync.Mutex
	// torn holds the processes whose settings file was incomplete at some time of the run.
	torn map[*daemon]bool
	// spare is the core that may replace another core, nil after it has done so.
	spare *daemon
	// seeds holds the seeds in each process's newest settings.
	seeds map[*daemon][]int
	// overdue describes the graceful stops that exceeded their time limit.
	overdue []string
	// findings are the findings that are not violations of rules.
	findings []string
}

// Run performs one run. An error means that the run could not be completed; findings are in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	r, err := newRun(o)
	if err != nil {
		return nil, err
	}
	defer r.end()
	if err := r.begin(ctx); err != nil {
		return nil, err
	}
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var work sync.WaitGroup
	work.Go(func() { r.clients.run(load) })
	work.Go(func() { r.runOperators(load) })
	r.injectFaults(ctx)
	r.heal(ctx)
	r.injectClosingFault(ctx)
	stopLoad()
	work.Wait()
	r.checkQuiescent(ctx)
	if ctx.Err() != nil {
		return nil, fmt.Errorf("interrupted: %w", ctx.Err())
	}
	return r.report(), nil
}

// newRun creates a run with its relays and stand-ins; it starts no process of the product.
func newRun(o Options) (*run, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	p, err := findLayout(o.Dir)
	if err != nil {
		return nil, err
	}
	j := newJournal()
	r := &run{options: o, journal: j, layout: p, network: relay.New(), torn: map[*daemon]bool{}, seeds: map[*daemon][]int{}}
	if r.fleet, err = newFleet(j, p); err != nil {
		return nil, err
	}
	return r, r.relays()
}

// relays creates the relays in front of the processes' mesh addresses and between clients and machines, and the
// processes, clients and operators that use them.
func (r *run) relays() error {
	addrs, names, cores := map[string]string{}, []string{}, []string{}
	for n := range machineCount {
		mesh := map[string]int{roleNode: portNodeMesh}
		if n < coreCount {
			mesh[roleCore] = portCoreMesh
			cores = append(cores, r.layout.at(n, portControl))
		}
		for role, port := range mesh {
			listenAddr := net.JoinHostPort(r.layout.listenIP(n, role), fmt.Sprint(r.layout.first))
			if err := r.network.AddRelay(fmt.Sprintf("%s-%d", role, n), r.layout.at(n, port), listenAddr); err != nil {
				return err
			}
			d := newDaemon(r.options, r.layout, n, role)
			d.report = r.logf
			r.daemons = append(r.daemons, d)
		}
		front := net.JoinHostPort(r.layout.standInIP(), fmt.Sprint(r.layout.first+n))
		if err := r.network.AddRelayFor(clientsName, machineName(n), front, r.layout.at(n, portHTTP)); err != nil {
			return err
		}
		addrs[machineName(n)] = front
		names = append(names, machineName(n))
	}
	if err := r.addSpare(); err != nil {
		return err
	}
	r.clients = &clients{journal: r.journal, rate: r.options.Rate, addrs: addrs, names: names, idleConns: map[string][]*idleConn{}}
	r.operators = newOperators(r.journal, cores)
	return nil
}

// addSpare creates the spare core without starting it. The spare machine already runs a node, but a replacement only
// needs an empty disk and a new address.
func (r *run) addSpare() error {
	listenAddr := net.JoinHostPort(r.layout.listenIP(spareMachine, roleCore), fmt.Sprint(r.layout.first))
	if err := r.network.AddRelay(coreName(spareMachine), r.layout.at(spareMachine, portCoreMesh), listenAddr); err != nil {
		return err
	}
	r.spare = newDaemon(r.options, r.layout, spareMachine, roleCore)
	r.spare.report = r.logf
	r.daemons = append(r.daemons, r.spare)
	return nil
}

// startupTimeout bounds the start and the recovery of all processes. Only a process that hangs exceeds it.
const startupTimeout = 2 * time.Minute

// begin starts the backends and the processes, sends the first configuration and waits until every node is ready.
func (r *run) begin(ctx context.Context) error {
	for _, pool := range poolNames() {
		n := perShard
		if pool == poolDispatch || pool == poolOther {
			n = dispatchBackends
		}
		for range n {
			if _, err := r.fleet.add(pool, slotsOf(pool), workOf(pool), ""); err != nil {
				return err
			}
		}
	}
	for _, d := range r.daemons {
		if err := r.writeSettings(d, []int{0, 1, 2}, true, false); err != nil {
			return err
		}
		if d != r.spare {
			go d.run()
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	go r.faultBootstrap(ctx)
	if !r.operators.first(ctx) {
		return fmt.Errorf("first configuration was not accepted by any core")
	}
	if !r.awaitReady(ctx) {
		return fmt.Errorf("not all nodes became ready after the first configuration")
	}
	// From now on the disks are not empty, so no process may bootstrap.
	for _, d := range r.daemons {
		if err := r.writeSettings(d, []int{0, 1, 2}, false, false); err != nil {
			return err
		}
	}
	return nil
}

// injectFaults injects the scheduled faults, and waits until all of them are over.
func (r *run) injectFaults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.options.For)
	defer cancel()
	var all sync.WaitGroup
	began := time.Now()
	for _, t := range schedule(r.options) {
		sleep(ctx, time.Until(began.Add(t.at)))
		if ctx.Err() != nil {
			break
		}
		all.Go(func() {
			rng := rand.New(rand.NewPCG(t.seed, 1))
			r.logf("fault %s begins, duration %v", t.kind, t.duration.Round(time.Millisecond))
			kindNamed(t.kind).do(ctx, r, rng, t.duration)
			r.logf("fault %s ends", t.kind)
		})
	}
	all.Wait()
}

// logf logs an event with its time in seconds since the start.
func (r *run) logf(format string, args ...any) {
	if r.options.Log != nil {
		r.options.Log(fmt.Sprintf("%8.3f ", float64(r.journal.now())/float64(clock.Second)) + fmt.Sprintf(format, args...))
	}
}

// withFault calls f and records that the fault is active while f runs. If the fault affects the cores, no disk may be
// lost while f runs.
func (r *run) withFault(s faultSpan, f func()) {
	if s.disruptsCores {
		r.coreGate.begin()
		defer r.coreGate.end()
	}
	r.recordFault(s, f)
}

// recordFault calls f and records that the fault is active while f runs.
func (r *run) recordFault(s faultSpan, f func()) {
	r.journal.beginFault(s)
	defer r.journal.endFault(s)
	f()
}

// end stops all relays, processes and backends.
func (r *run) end() {
	r.network.Close()
	for _, d := range r.daemons {
		d.close()
	}
	r.fleet.close()
}
