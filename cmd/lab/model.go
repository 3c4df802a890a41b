// The command model: the model checker explores each selected configuration up to a bound,
// then makes random walks, which may go beyond that bound.

package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"wallport/lab/model"
)

type modelCmd struct {
	Config   string `long:"config" description:"explore the configurations whose name has this in it"`
	Depth    int    `long:"depth" default:"1000" description:"longest schedule of the exploration"`
	States   int    `long:"states" default:"1000000" description:"states of each configuration; 0 explores none"`
	Deeper   int    `long:"deeper" default:"0" description:"so much more of every fault and choice than CI has"`
	Replicas int    `long:"replicas" default:"4" choice:"3" choice:"4" description:"replicas of the random walks: three have a vote at the start"`
	Seed     uint64 `long:"seed" default:"1" description:"first seed of the random walks"`
	Seeds    int    `long:"seeds" default:"100" description:"number of random walks"`
	Length   int    `long:"length" default:"600" description:"actions of each walk"`
}

func (c *modelCmd) Execute([]string) error {
	failed := 0
	for _, config := range model.Configs() {
		if c.States > 0 && strings.Contains(config.Name, c.Config) {
			failed += c.explore(config.WithMoreFaults(c.Deeper))
		}
	}
	failed += c.walk()
	if failed > 0 {
		os.Exit(1)
	}
	return nil
}

// explore explores one configuration, prints the result and returns the number of failures.
func (c *modelCmd) explore(config model.Config) int {
	began := time.Now()
	w := model.NewExplorer(config)
	r := w.Explore(model.Bound{Depth: c.Depth, States: c.States})
	fmt.Printf("%v\n   %v\n   counted %+v in %.1f s\n", w, r, w.Seen, time.Since(began).Seconds())
	return printFailure(r.Failure)
}

func (c *modelCmd) walk() int {
	began := time.Now()
	r, err := model.RandomWalkConfig(c.Replicas).Walks(c.Seed, c.Seeds, c.Length)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fmt.Printf("random walks: %d with %d steps in %.1f s\n", r.Walks, r.Steps, time.Since(began).Seconds())
	if r.Failure != nil {
		fmt.Printf("seed %d\n", r.Seed)
	}
	return printFailure(r.Failure)
}

func printFailure(f *model.Failure) int {
	if f == nil {
		return 0
	}
	fmt.Printf("FAILED %v", f)
	return 1
}
