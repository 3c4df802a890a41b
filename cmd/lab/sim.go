// The simulator's command: one run, or a sweep of seeds that prints each
// failing one with the command that replays it.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"

	"wallport/lab/script"
	"wallport/lab/sim"
)

type simCmd struct {
	Seed  uint64 `long:"seed" default:"1" description:"first seed"`
	Seeds uint64 `long:"seeds" default:"1" description:"number of seeds"`
	Trace bool   `long:"trace" description:"print every event of the run"`
	Lines bool   `long:"counts" description:"print every count of each run"`
	Args  struct {
		Files []string `positional-arg-name:"SCENARIO" required:"1"`
	} `positional-args:"yes"`
}

func (c *simCmd) Execute([]string) error {
	type job struct {
		s    *script.Script
		seed uint64
	}
	var jobs []job
	for _, f := range c.Args.Files {
		s, err := script.Load(f)
		if err != nil {
			return err
		}
		for i := range c.Seeds {
			jobs = append(jobs, job{s, c.Seed + i})
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	failed := 0
	next := make(chan job)
	for range runtime.NumCPU() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range next {
				var trace func(int64, string)
				if c.Trace {
					trace = func(at int64, text string) { fmt.Printf("%12.6f %s\n", float64(at)/1e6, text) }
				}
				r := sim.Play(j.s, j.seed, trace)
				mu.Lock()
				if c.Lines {
					for _, l := range r.Lines {
						fmt.Println(l)
					}
				}
				if len(r.Faults) > 0 {
					failed++
					fmt.Printf("FAILED %s seed=%d replay: lab sim --seed %d --trace %s\n", filepath.Base(r.Scenario), r.Seed, r.Seed, r.Scenario)
					for i, v := range r.Faults {
						if i < 8 {
							fmt.Println("   " + v)
						}
					}
				}
				mu.Unlock()
			}
		}()
	}
	for _, j := range jobs {
		next <- j
	}
	close(next)
	wg.Wait()
	fmt.Printf("runs=%d failed=%d\n", len(jobs), failed)
	if failed > 0 {
		os.Exit(1)
	}
	return nil
}
