// One run: starts the fleet, sends load, plays a scenario, collects the observations and checks them.

package fleet

import (
	"context"
	"fmt"
	"time"

	"wallport/lab/caller"
	"wallport/lab/check"
	"wallport/lab/script"
)

// RunOptions are the options of a run. Rate is in requests per second; with KeepRunning the fleet keeps running until
// the context ends; StartupTimeout bounds the time until all nodes are ready.
type RunOptions struct {
	Options
	Rate           float64
	Seconds        float64
	Repeat         float64
	Seed           uint64
	Script         *script.Script
	KeepRunning    bool
	StartupTimeout time.Duration
}

// zonesReadWithin bounds the time of readZones, which waits at the end of a run until every node has applied the
// acknowledged commands.
const zonesReadWithin = 30 * time.Second

// Result is the outcome of a run.
type Result struct {
	Shape      string           `json:"shape"`
	UpMs       int64            `json:"up_ms"`
	Callers    caller.Summary   `json:"callers"`
	Counts     map[string]int64 `json:"counts"`
	Violations []string         `json:"violations"`
	// Balance is the busiest backend's number of requests divided by the mean over all backends that reported.
	Balance float64 `json:"balance"`
}

// Run performs one run. The fleet is always stopped at the end, also after an error.
func Run(ctx context.Context, o RunOptions) (*Result, error) {
	o.Relays = o.Script.Uses("cut-off")
	f := New(o.Options)
	defer f.Down()
	began := time.Now()
	upCtx, cancel := context.WithTimeout(ctx, o.StartupTimeout)
	defer cancel()
	if err := f.Up(upCtx); err != nil {
		return nil, err
	}
	r := &Result{Shape: o.Shape.Name, UpMs: time.Since(began).Milliseconds(), Counts: map[string]int64{}, Violations: []string{}}
	if o.KeepRunning {
		f.announce()
	}
	before := f.Metric("inquiries_read")
	if o.Rate > 0 {
		if err := f.operators.recordInitialConfig(upCtx); err != nil {
			return nil, err
		}
		played := make(chan error, 1)
		from := f.operators.now()
		watchCtx, stopWatching := context.WithCancel(ctx)
		f.operators.watch(watchCtx)
		f.operators.startReads(watchCtx)
		go func() { played <- f.Play(ctx, o.Script) }()
		r.Callers = caller.New(caller.Config{
			Platform: f.Platform, Index: o.Shape.Index, Rate: o.Rate, Seconds: o.Seconds, Repeat: o.Repeat, Seed: o.Seed,
			MinDeadline: o.Shape.MinDeadline, MaxDeadline: o.Shape.MaxDeadline,
		}).Run(ctx)
		stopWatching()
		f.operators.wait.Wait()
		f.operators.recordServed(from, r.Callers.Seconds)
		if err := <-played; err != nil {
			return nil, err
		}
		if err := f.readZones(ctx); err != nil {
			return nil, err
		}
	}
	f.check(r)
	r.Counts["inquiries_read"] = f.Metric("inquiries_read") + f.readByStoppedNodes() - before
	if o.KeepRunning {
		<-ctx.Done()
	}
	return r, nil
}

// readZones reads the final state of each zone that operators drained or restored.
func (f *Fleet) readZones(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, zonesReadWithin)
	defer cancel()
	for _, zone := range f.commandedZones {
		if err := f.operators.readZone(readCtx, zone); err != nil {
			return err
		}
	}
	return nil
}

// announce logs the addresses of the platform and the nodes.
func (f *Fleet) announce() {
	fmt.Fprintf(f.options.Log, "platform=%s logs=%s\n", f.Platform, f.options.Dir)
	for _, n := range f.Nodes {
		fmt.Fprintf(f.options.Log, "node=%s zone=%s caller=%s operator=%s\n", n.Name, n.Zone, n.Caller, f.OperatorAddrs[n.Name])
	}
}

// check passes the observations of the stand-ins to the checker, which the simulator uses too, and fills in the
// result's violations and counts.
func (f *Fleet) check(r *Result) {
	c := f.operators.checker
	c.CheckChain()
	ran, reports := f.CountRuns()
	for key, n := range ran {
		c.RanTimes(key, n)
	}
	for _, key := range r.Callers.Refused {
		c.Refused(key, 0)
	}
	for id, at := range f.drainingSince {
		c.BackendDrains(id, at)
		if v, ok := reports[id]; ok && v.Last > at {
			c.Request(f.options.Shape.Index, id, "", v.Last, false, false)
		} else {
			c.Idle(check.DrainingWork)
		}
	}
	for _, v := range c.Violations {
		r.Violations = append(r.Violations, v.Point+": "+v.Text)
	}
	r.Violations = append(r.Violations, r.Callers.Wrong...)
	for k, n := range c.Counts {
		r.Counts[k] = n
	}
	for k, n := range c.Tested {
		r.Counts["tested."+k] = n
	}
	var most int64
	for _, v := range reports {
		r.Counts["server_asks"] += v.Asked
		most = max(most, v.Asked)
	}
	if n := r.Counts["server_asks"]; n > 0 {
		r.Balance = float64(most) * float64(len(reports)) / float64(n)
	}
	for _, name := range []string{
		"extra_tries", "extra_tries_denied", "answers_garbage", "over_ceiling", "claims_short", "claims_unsure", "claims_minority",
		"mesh_entries_in", "mesh_heartbeats_in", "condition_probes", "platform_polls", "opinions_told", "thaws",
	} {
		r.Counts[name] = f.Metric(name)
	}
}
