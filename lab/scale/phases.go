// The phases of a run and the measurements in each.

package scale

import (
	"context"
	"fmt"
	"time"
)

var classes = []string{"node", "core", "hollow"}

// phase runs do as the phase with the given name and records the resources that the processes used during the phase.
func (f *run) phase(ctx context.Context, name string, do func() error) error {
	from := f.sampleAll(ctx)
	if err := do(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	f.recordPhase(name, from, f.sampleAll(ctx))
	return nil
}

func (f *run) recordPhase(name string, from, to map[*child]childSample) {
	f.m.Phases[name] = map[string]Rates{}
	for _, class := range classes {
		if r := rates(class, from, to); r.Processes > 0 {
			f.m.Phases[name][class] = r
		}
	}
	stuck := 0
	for _, m := range to {
		f.m.LagUs = max(f.m.LagUs, m.sample.LagUs)
		stuck += m.sample.Stuck
	}
	f.m.Stuck = max(f.m.Stuck, stuck)
}

func (f *run) measure(ctx context.Context) error {
	if err := f.startStandIns(ctx); err != nil {
		return err
	}
	f.logf("starting, %d backends", f.m.Servers)
	var seeds []string
	for i := range f.o.Cores {
		c, err := f.startReal(ctx, "core", i, seeds)
		if err != nil {
			return err
		}
		if len(seeds) < 3 {
			seeds = append(seeds, c.mesh)
		}
	}
	began := time.Now()
	if err := f.startHollowNodes(ctx, f.m.Nodes-f.m.Real, seeds); err != nil {
		return err
	}
	for i := range f.m.Real {
		if _, err := f.startReal(ctx, "node", i, seeds); err != nil {
			return err
		}
	}
	from := f.sampleAll(ctx)
	err := f.waitReady(ctx, began)
	// The start is recorded even if the fleet did not become ready.
	f.recordPhase("start", from, f.sampleAll(context.WithoutCancel(ctx)))
	if err != nil {
		return err
	}
	f.logf("%d hollow nodes ready after %.1f s", f.m.ReadyNodes, float64(f.m.ReadyUs)/1e6)
	if err := sleep(ctx, f.o.Settle); err != nil {
		return err
	}
	for _, c := range f.children {
		if err := resetPeakMemory(c.cmd.Process.Pid); err != nil {
			f.logf("cannot reset the peak memory of %s, it includes the start: %v", c.name, err)
		}
	}
	f.m.Load = loadAverage1m()
	if err := f.phase(ctx, "rest", func() error { return f.measureIdle(ctx) }); err != nil {
		return err
	}
	f.logf("rest: %+v", f.m.Phases["rest"]["hollow"])
	if err := f.phase(ctx, "changes", func() error { return f.changes(ctx) }); err != nil {
		return err
	}
	if f.m.Real < 1 {
		return nil
	}
	return f.lossAndJoin(ctx, seeds)
}

// measureIdle waits for the duration Rest without any change and measures the CPU use of all children.
func (f *run) measureIdle(ctx context.Context) error {
	cpu := f.cpu()
	at := time.Now()
	if err := sleep(ctx, f.o.Rest); err != nil {
		return err
	}
	f.m.CPUAll = (f.cpu() - cpu) / time.Since(at).Seconds()
	return nil
}

// cpu returns the CPU time that all children together have used so far, in seconds.
func (f *run) cpu() (sum float64) {
	for _, c := range f.children {
		if u, err := ReadUsage(c.cmd.Process.Pid); err == nil {
			sum += float64(u.CPUUs) / 1e6
		}
	}
	return sum
}

// waitReady submits the first configuration and shard map and waits until every hollow node is ready to serve. If the
// nodes are not ready within the time Within, it returns without an error, so that such a fleet is measured too.
func (f *run) waitReady(ctx context.Context, began time.Time) error {
	within, cancel := context.WithTimeout(ctx, f.o.Within)
	defer cancel()
	first := f.newConfig()
	err := f.retryUntilDone(within, "first sheet", func() error {
		_, err := f.edit(within, HostRequest{Op: "edit", Body: first})
		return err
	})
	if err == nil {
		cut := fmt.Appendf(nil, `{"Name":%q,"Shards":%d}`, ShardMapName, f.shards)
		err = f.retryUntilDone(within, "first cut", func() error {
			_, err := f.edit(within, HostRequest{Op: "cut", Name: Index, Body: cut})
			return err
		})
	}
	if err != nil {
		return err
	}
	err = f.retryUntilDone(within, "ready", func() error {
		if n := f.readyNodes(within); n < f.m.Nodes-f.m.Real {
			return fmt.Errorf("%d of %d hollow nodes are ready", n, f.m.Nodes-f.m.Real)
		}
		return nil
	})
	f.m.ReadyUs = time.Since(began).Microseconds()
	f.m.ReadyNodes = f.readyNodes(ctx)
	if err != nil && ctx.Err() != nil {
		return err
	}
	return nil
}

func (f *run) readyNodes(ctx context.Context) (n int) {
	for c, m := range f.sampleAll(ctx) {
		if c.class == "hollow" {
			n += m.sample.Ready
		}
	}
	return n
}

// watch starts recording the observations of the hollow nodes. If about is not empty, the nodes' views of that
// member's liveness are recorded too. The method observations ends the recording.
func (f *run) watch(ctx context.Context, about string) error {
	return forEach(f.hosts, func(c *child) error {
		_, err := c.ask(ctx, HostRequest{Op: "watch", Name: about})
		return err
	})
}

// observations ends the recording and returns the observations of all hosts.
func (f *run) observations(ctx context.Context) ([]Observation, error) {
	parts := make([][]Observation, len(f.hosts))
	index := map[*child]int{}
	for i, c := range f.hosts {
		index[c] = i
	}
	err := forEach(f.hosts, func(c *child) error {
		t, err := c.ask(ctx, HostRequest{Op: "seen"})
		parts[index[c]] = t.Seen
		return err
	})
	var out []Observation
	for _, p := range parts {
		out = append(out, p...)
	}
	return out, err
}
