// The commands scale and hollow. scale measures how the cost of the control plane grows with
// the fleet, on real and hollow processes or on simulated time; hollow hosts the hollow processes
// that scale starts. A hollow process is a node or core without the request path and HTTP interfaces
// that shares one process of the operating system with others.

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"text/tabwriter"
	"time"

	"wallport/lab/scale"
	"wallport/lab/sim"
)

type scaleCmd struct {
	Nodes     []int         `long:"nodes" default:"10" default:"30" default:"100" description:"fleet sizes"`
	Cores     int           `long:"cores" default:"3" description:"cores, real processes"`
	Real      int           `long:"real" default:"3" description:"nodes that are real processes; the others are hollow"`
	PerHost   int           `long:"per-host" default:"25" description:"hollow nodes that share a process"`
	Servers   float64       `long:"servers" default:"4.5" description:"backends for each node"`
	Settle    time.Duration `long:"settle" default:"25s" description:"waited after the start"`
	Rest      time.Duration `long:"rest" default:"20s" description:"length of the measured rest"`
	Changes   int           `long:"changes" default:"10" description:"changes of the configuration"`
	Within    time.Duration `long:"within" default:"90s" description:"bound of the start"`
	Most      time.Duration `long:"most" default:"5m" description:"bound of a run at one size"`
	MemoryMB  int64         `long:"memory-mb" default:"15000" description:"bound of what all processes hold together"`
	Dir       string        `long:"dir" description:"folder for data and logs, a new one inside it; a memory disk keeps other programs' syncs out of the times"`
	Write     string        `long:"write" description:"write NAME.json and NAME.csv, a path without the ending"`
	Simulated bool          `long:"simulated" description:"on simulated time: frames, bytes and steps of a process, which fail the run where they grow too fast"`
	Brief     bool          `long:"brief" description:"with --simulated, start and rest alone"`
	Healed    bool          `long:"healed" description:"on simulated time: changes, and how long a healed split takes to agree"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of the simulation"`
}

func (c *scaleCmd) Execute([]string) error {
	switch {
	case c.Simulated:
		return c.runSimulated()
	case c.Healed:
		return c.measureHealing()
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp(c.Dir, "wallport-scale-")
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var all []scale.Measured
	var failed error
	for _, n := range c.Nodes {
		m, err := scale.Run(ctx, n, scale.Options{
			Bin: filepath.Dir(self), Dir: dir, Cores: c.Cores, Real: c.Real, PerHost: c.PerHost, Servers: c.Servers, Settle: c.Settle, Rest: c.Rest,
			Changes: c.Changes, Within: c.Within, Most: c.Most, MemoryMost: c.MemoryMB << 20, Log: os.Stderr,
		})
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("%d nodes: %w (logs are in %s)", n, err, dir))
			m.Saturated = true
		}
		all = append(all, m)
	}
	if c.Write != "" {
		failed = errors.Join(failed, scale.Write(filepath.Dir(c.Write), filepath.Base(c.Write), all))
	}
	if err := errors.Join(failed, scale.Report(os.Stdout, all)); err != nil {
		return err
	}
	return os.RemoveAll(dir)
}

// runSimulated prints the numbers of frames, bytes and steps of a process in each phase. It fails if
// one of these counts grows faster than the square root of the fleet's size.
func (c *scaleCmd) runSimulated() error {
	var sizes []sim.FleetOptions
	for _, n := range c.Nodes {
		sizes = append(sizes, sim.FleetOptions{Nodes: n, Cores: c.Cores, Servers: int(float64(n) * c.Servers), Seed: c.Seed, Brief: c.Brief})
	}
	all, err := scale.Counts(sizes)
	if err := errors.Join(err, scale.ReportCounts(os.Stdout, all)); err != nil {
		return err
	}
	over := 0
	for _, v := range scale.Verdicts(all) {
		if v.Exceeds() {
			over++
		}
	}
	if over > 0 {
		return fmt.Errorf("%d counts grow faster than the square root of the fleet", over)
	}
	return nil
}

// measureHealing prints the traffic of the mesh, the time until changes are in force, and the time until the fleet agrees
// after a network partition has healed.
func (c *scaleCmd) measureHealing() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "nodes\tmesh frames/s per process\tbytes/s per process\tframes per change\tin force, median ms\tworst ms\tagreement after a healed partition, ms")
	for _, n := range c.Nodes {
		r, err := sim.MeasureScaling(n, c.Seed)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%d\t%.1f\t%.0f\t%.1f\t%.1f\t%.1f\t%.0f\n", r.Nodes, r.RestPerNode, r.BytesPerNode, r.ChangeFrames,
			float64(r.MedianUs)/1000, float64(r.WorstUs)/1000, float64(r.HealUs)/1000)
	}
	return w.Flush()
}

type hollowCmd struct {
	scale.HollowConfig
	Backends bool `long:"backends" description:"host hollow backends instead; ends with its standard input"`
	Shards   int  `long:"shards" default:"4" description:"shards that the backends are spread over"`
}

func (c *hollowCmd) Execute([]string) error {
	if c.Backends {
		list, stop, err := scale.StartBackends(scale.BackendsConfig{Count: c.Count, Shards: c.Shards, Zones: c.Zones, IP: c.IP})
		if err != nil {
			return err
		}
		defer stop()
		if err := json.NewEncoder(os.Stdout).Encode(list); err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, os.Stdin)
		return err
	}
	h, err := scale.StartHollow(c.HollowConfig)
	if err != nil {
		return err
	}
	defer h.Stop()
	return h.Serve(os.Stdin, os.Stdout)
}
