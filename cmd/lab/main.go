// Command lab contains the simulated peers and the test runners with which wallport
// is tested. It is not part of the product.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"wallport/lab/backend"
	"wallport/lab/caller"
	"wallport/lab/fleet"
	"wallport/lab/platform"
	"wallport/lab/script"
)

type options struct {
	Backend  backendCmd  `command:"backend" description:"a stand-in index server"`
	Caller   callerCmd   `command:"caller" description:"stand-in callers, whose answers are checked exactly"`
	Platform platformCmd `command:"platform" description:"a stand-in platform"`
	Fleet    fleetCmd    `command:"fleet" description:"a whole fleet of real processes, under load and failures"`
	Sim      simCmd      `command:"sim" description:"the same state machines on simulated time, from scenario files and seeds"`
	Model    modelCmd    `command:"model" description:"the control state's consensus code, explored through its interleavings"`
	Load     loadCmd     `command:"load" description:"load runs on real processes, against another build if given"`
	Scale    scaleCmd    `command:"scale" description:"how what control costs a process grows with the fleet, on real and hollow processes or simulated"`
	Tail     tailCmd     `command:"tail" description:"the tail of requests over many parts, and what asking again costs"`
	Soak     soakCmd     `command:"soak" description:"real processes on the users' platform under overlapping troubles drawn from a seed, judged by its rules"`
	Hollow   hollowCmd   `command:"hollow" description:"many nodes, cores or backends in one process, for the scale run"`
}

type backendCmd struct{ backend.Config }
type callerCmd struct{ caller.Config }
type platformCmd struct{ platform.Config }

func (c *backendCmd) Execute([]string) error  { return backend.New(c.Config).Run() }
func (c *platformCmd) Execute([]string) error { return platform.New(c.Config).Run() }

func show(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func (c *callerCmd) Execute([]string) error {
	sum := caller.New(c.Config).Run(context.Background())
	if err := show(sum); err != nil {
		return err
	}
	if sum.WrongN > 0 {
		return fmt.Errorf("%d wrong answers", sum.WrongN)
	}
	return nil
}

type fleetCmd struct {
	Shape   string  `long:"shape" default:"trust" choice:"trust" choice:"registry" choice:"small" description:"the deployment"`
	Dir     string  `long:"dir" description:"folder for data and logs; a new temporary one by default"`
	Bin     string  `long:"bin" description:"folder of the programs; by default this one's"`
	Before  string  `long:"before" description:"folder of an earlier release's programs, which the daemons begin with"`
	Rate    float64 `long:"rate" default:"530" description:"inquiries a second; 0 sends none"`
	Seconds float64 `long:"seconds" default:"20" description:"how long to send"`
	Repeat  float64 `long:"repeat" default:"0.05" description:"share of keyed inquiries sent twice"`
	Seed    uint64  `long:"seed" default:"1" description:"seed of the callers"`
	Script  string  `long:"script" description:"scenario of failures to bring about meanwhile"`
	Stay    bool    `long:"stay" description:"keep the fleet up until interrupted"`
}

func (c *fleetCmd) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := defaultFolders(&c.Bin, &c.Dir, "wallport-fleet-"); err != nil {
		return err
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return err
	}
	sc := &script.Script{}
	if c.Script != "" {
		var err error
		if sc, err = script.Load(c.Script); err != nil {
			return err
		}
	}
	r, err := fleet.Run(ctx, fleet.RunOptions{
		Options: fleet.Options{Shape: fleet.Shapes[c.Shape], Dir: c.Dir, Bin: c.Bin, EarlierBin: c.Before, Log: os.Stderr},
		Rate:    c.Rate, Seconds: c.Seconds, Repeat: c.Repeat, Seed: c.Seed, Script: sc, KeepRunning: c.Stay, StartupTimeout: 60 * time.Second,
	})
	if err != nil {
		return fmt.Errorf("%w (logs are in %s)", err, c.Dir)
	}
	if err := show(r); err != nil {
		return err
	}
	if len(r.Violations) > 0 {
		return fmt.Errorf("%d violations (logs are in %s)", len(r.Violations), c.Dir)
	}
	return nil
}

func main() {
	var o options
	p := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	_, err := p.Parse()
	var fe *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Println(err)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
