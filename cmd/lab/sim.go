// The command sim: simulated runs of scenarios, each with one seed or several. It prints
// each failing seed with the command that replays it. The fleet has the size that the
// scenario sets or the full size of a deployment.

package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"

	"wallport/lab/fleet"
	"wallport/lab/script"
	"wallport/lab/sim"
)

type simCmd struct {
	Seed    uint64 `long:"seed" default:"1" description:"first seed, or the number of the first drawn scenario"`
	Seeds   uint64 `long:"seeds" default:"1" description:"number of seeds"`
	Trace   bool   `long:"trace" description:"print every event of the run"`
	Lines   bool   `long:"counts" description:"print every count of each run"`
	Shape   string `long:"shape" choice:"trust" choice:"registry" description:"run at the full size, deadlines and rate of a deployment"`
	Power   bool   `long:"power" description:"run each scenario once for each step of each write of the disks, the power lost there"`
	Shift   int64  `long:"shift" description:"run each scenario once for each so many milliseconds by which its shifted steps come later"`
	ShiftTo int64  `long:"shift-to" default:"4000" description:"the greatest of these"`
	Draw    uint64 `long:"draw" description:"draw so many scenarios of overlapping failures in place of files"`
	Days    bool   `long:"days" description:"draw days on the users' platform"`
	Site    string `long:"site" description:"of days, draw those of one shape"`
	Cover   bool   `long:"cover" description:"print how often each kind of trouble and each rule of days was put to the test, and fail where one never was"`
	Rate    int    `long:"rate" default:"150" description:"inquiries a second in drawn scenarios"`
	Show    bool   `long:"show" description:"print the drawn scenario and do not run it"`
	Shrink  bool   `long:"shrink" description:"take lines out of a failing drawn scenario for as long as it goes on failing"`
	Matrix  bool   `long:"matrix" description:"print how often each pair of failures was drawn"`
	Args    struct {
		Files []string `positional-arg-name:"SCENARIO"`
	} `positional-args:"yes"`
}

type simJob struct {
	s    *script.Script
	seed uint64
	text string
}

func (c *simCmd) Execute([]string) error {
	var jobs []simJob
	var err error
	switch {
	case c.Draw > 0 && len(c.Args.Files) > 0:
		return errors.New("--draw cannot be combined with scenario files")
	case c.Draw > 0:
		jobs, err = c.drawJobs()
	case len(c.Args.Files) == 0:
		return errors.New("scenario files or --draw N are required")
	default:
		jobs, err = c.fileJobs()
	}
	if err != nil || c.Show {
		return err
	}
	failed := 0
	sums, tested := map[string]int64{}, map[string]int64{}
	c.runJobs(jobs, func(j simJob, r sim.Result) {
		for name, n := range r.Counts {
			sums[name] += n
		}
		for name, n := range r.Tested {
			tested[name] += n
		}
		if c.Lines {
			for _, l := range r.Lines {
				fmt.Println(l)
			}
		}
		if len(r.Faults) > 0 {
			failed++
			c.reportFailure(j, r)
		}
	})
	for _, name := range []string{"refused_for.claims", "refused_for.no_server", "refused_for.server", "refused_for.repeat", "asks_of_isolated"} {
		fmt.Printf("%s=%d ", name, sums[name])
	}
	fmt.Printf("\nruns=%d failed=%d\n", len(jobs), failed)
	if c.Cover {
		if never := printCoverage(sums, tested); len(never) > 0 {
			return fmt.Errorf("never tested: %s", strings.Join(never, ", "))
		}
	}
	if failed > 0 {
		os.Exit(1)
	}
	return nil
}

// fileJobs reads the scenario files and returns their jobs. With --shape, the scenarios run at the full size of that
// deployment.
func (c *simCmd) fileJobs() ([]simJob, error) {
	var jobs []simJob
	for _, f := range c.Args.Files {
		s, err := script.Load(f)
		if err != nil {
			return nil, err
		}
		if c.Shape != "" {
			fleet.Shapes[c.Shape].ApplyFullSize(s)
		}
		for i := range c.Seeds {
			all := []*script.Script{s}
			if c.Power {
				all = sim.PowerLossScripts(s, c.Seed+i)
			}
			if c.Shift > 0 {
				all = sim.DelayedScripts(s, c.Shift, c.ShiftTo)
			}
			for _, one := range all {
				jobs = append(jobs, simJob{s: one, seed: c.Seed + i})
			}
		}
	}
	return jobs, nil
}

// runJobs runs all jobs on all processors and calls done with each result. The calls of done do not overlap.
func (c *simCmd) runJobs(jobs []simJob, done func(j simJob, r sim.Result)) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	next := make(chan simJob)
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for j := range next {
				var trace func(int64, string)
				if c.Trace {
					trace = func(at int64, text string) { fmt.Printf("%12.6f %s\n", float64(at)/1e6, text) }
				}
				r := sim.Run(j.s, j.seed, trace)
				mu.Lock()
				done(j, r)
				mu.Unlock()
			}
		})
	}
	for _, j := range jobs {
		next <- j
	}
	close(next)
	wg.Wait()
}

func (c *simCmd) reportFailure(j simJob, r sim.Result) {
	replay := fmt.Sprintf("lab sim --seed %d --trace", j.seed)
	switch {
	case c.Draw > 0 && (c.Days || c.Site != ""):
		replay += " --draw 1 --days"
		if c.Site != "" {
			replay += " --site " + c.Site
		}
	case c.Draw > 0:
		replay += fmt.Sprintf(" --draw 1 --rate %d", c.Rate)
	case c.Shape != "":
		replay += " --shape " + c.Shape + " " + r.Scenario
	default:
		replay += " " + r.Scenario
	}
	if c.Shift > 0 {
		replay = fmt.Sprintf("(with set shift_ms %s) %s", j.s.Set["shift_ms"], replay)
	}
	fmt.Printf("FAILED %s seed=%d replay: %s\n", filepath.Base(r.Scenario), r.Seed, replay)
	for i, v := range r.Faults {
		if i < 8 {
			fmt.Println("   " + v)
		}
	}
	if j.text != "" {
		fmt.Print(c.shrinkFailure(j, r))
	}
}
