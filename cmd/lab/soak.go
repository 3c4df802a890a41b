// The command soak: runs of real processes, configured as on the users' platform, under overlapping faults. There is one
// run for each seed.
// The folder of a failing run is kept.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"wallport/lab/soak"
)

type soakCmd struct {
	Seed  uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds uint64        `long:"seeds" default:"1" description:"number of seeds"`
	Jobs  int           `long:"jobs" default:"1" description:"runs at the same time"`
	For   time.Duration `long:"for" default:"30s" description:"how long troubles come in each run"`
	Rate  float64       `long:"rate" default:"120" description:"requests a second"`
	Gap   time.Duration `long:"gap" description:"mean time between the begins of two troubles"`
	Only  []string      `long:"only" description:"a kind of trouble to draw; all without any"`
	Timed bool          `long:"timed" description:"judge the rules with bounds of time, too: for a machine that is not busy"`
	Bin   string        `long:"bin" description:"folder of the programs; by default this one's"`
	Dir   string        `long:"dir" description:"folder for the runs; a new temporary one by default"`
	Keep  bool          `long:"keep" description:"keep the folders of runs without findings, too"`
	Quiet bool          `long:"quiet" description:"do not print the schedule as it comes"`
}

func (c *soakCmd) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := defaultFolders(&c.Bin, &c.Dir, "soak-"); err != nil {
		return err
	}
	slots := make(chan struct{}, max(1, c.Jobs))
	var all sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for seed := c.Seed; seed < c.Seed+c.Seeds && ctx.Err() == nil; seed++ {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			report, err := c.runSeed(ctx, seed)
			mu.Lock()
			defer mu.Unlock()
			if !c.printReport(seed, report, err) {
				failed++
			}
		})
	}
	all.Wait()
	fmt.Printf("runs=%d failed=%d\n", c.Seeds, failed)
	if failed > 0 {
		return fmt.Errorf("%d of %d runs have findings", failed, c.Seeds)
	}
	return nil
}

func (c *soakCmd) seedFolder(seed uint64) string {
	return filepath.Join(c.Dir, fmt.Sprintf("seed-%d", seed))
}

// runSeed carries out the run of one seed and writes its schedule and its findings to events.txt in the folder of the run.
func (c *soakCmd) runSeed(ctx context.Context, seed uint64) (*soak.Report, error) {
	dir := c.seedFolder(seed)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	events, err := os.Create(filepath.Join(dir, "events.txt"))
	if err != nil {
		return nil, err
	}
	defer events.Close()
	var to io.Writer = events
	if !c.Quiet {
		to = io.MultiWriter(events, os.Stdout)
	}
	var mu sync.Mutex
	o := soak.Options{Seed: seed, For: c.For, Bin: c.Bin, Dir: dir, Rate: c.Rate, Gap: c.Gap, Only: c.Only, Timed: c.Timed, Log: func(line string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintln(to, line)
	}}
	report, err := soak.Run(ctx, o)
	if report != nil {
		for _, f := range report.Findings {
			fmt.Fprintln(events, "finding:", f)
		}
	}
	return report, err
}

// printReport prints the result of a run and reports whether the run had neither an error nor findings. It removes the
// folder of a run without findings unless --keep is set.
func (c *soakCmd) printReport(seed uint64, r *soak.Report, err error) bool {
	if err != nil {
		fmt.Printf("seed=%d error=%q folder=%s\n", seed, err, c.seedFolder(seed))
		return false
	}
	tested, _ := json.Marshal(r.Tested)
	fmt.Printf("seed=%d requests=%d served=%d arrivals=%d changes=%d acknowledged=%d starts=%d findings=%d undecided=%d tested=%s\n",
		seed, r.Requests, r.Served, r.Arrivals, r.Changes, r.Acked, r.Starts, len(r.Findings), len(r.Undecided), tested)
	for i, f := range r.Findings {
		if i == 20 {
			fmt.Println("  ...")
			break
		}
		fmt.Println("  " + f)
	}
	if len(r.Findings) == 0 {
		if !c.Keep {
			os.RemoveAll(c.seedFolder(seed))
		}
		return true
	}
	fmt.Printf("  kept in %s; replay: lab soak --seed %d --for %v --rate %v --gap %v\n", c.seedFolder(seed), seed, c.For, c.Rate, c.Gap)
	return false
}
