// The command load: runs of real processes under load, alternately with those of another build if one is given.

package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"

	"wallport/lab/fleet"
)

type loadCmd struct {
	Shape   string  `long:"shape" default:"trust" choice:"trust" choice:"registry" choice:"small" description:"the deployment"`
	Rate    float64 `long:"rate" default:"530" description:"inquiries a second of the normal case"`
	Seconds float64 `long:"seconds" default:"10" description:"length of each run"`
	Rounds  int     `long:"rounds" default:"3" description:"runs of each case"`
	Against string  `long:"against" description:"folder of the programs of an earlier commit, run in turn"`
	Only    string  `long:"only" description:"one case alone"`
}

func (c *loadCmd) Execute([]string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "wallport-load-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	fmt.Fprintln(os.Stderr, "cases:", len(fleet.Cases), "rounds:", c.Rounds)
	return fleet.Load(ctx, fleet.LoadOptions{
		Options:  fleet.Options{Shape: fleet.Shapes[c.Shape], Dir: dir, Bin: filepath.Dir(self)},
		OtherBin: c.Against, Rate: c.Rate, Seconds: c.Seconds, Rounds: c.Rounds, Only: c.Only,
	}, os.Stdout)
}
