// Command wallport is the whole product: the role is a subcommand.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// release is the program's release, set when it is built.
var release = "0.1.0"

// Exit codes, for scripts.
const (
	exitFailed     = 1
	exitUsage      = 2
	exitInvalid    = 3
	exitLostRace   = 4
	exitUnknown    = 5
	exitOverloaded = 6
)

// exitError is an error with the exit code it means.
type exitError struct {
	code int
	text string
}

func (c exitError) Error() string { return c.text }

type options struct {
	Release  func()      `long:"version" description:"show the release and exit"`
	Node     nodeCmd     `command:"node" description:"run a node: mesh, caller API, operator API; needs no disk"`
	Core     coreCmd     `command:"core" description:"run a core: seats of the control state, on a machine with a disk"`
	Admin    adminCmd    `command:"admin" description:"operate a running fleet through any of its nodes"`
	Explain  explainCmd  `command:"explain" description:"tell why an inquiry went where it went"`
	CheckEnv checkEnvCmd `command:"check-env" description:"check an env file and list every finding"`
}

func main() {
	var o options
	o.Release = func() {
		fmt.Println("wallport " + release)
		os.Exit(0)
	}
	p := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "wallport is a search front over sharded indexes. Exit codes: 1 failed, 2 usage, 3 findings, 4 lost a race, 5 outcome unknown, 6 try again."
	_, err := p.Parse()
	if err == nil {
		return
	}
	var fe *flags.Error
	var ce exitError
	switch {
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Println(err)
	case errors.As(err, &fe):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	case errors.As(err, &ce):
		fmt.Fprintln(os.Stderr, ce.text)
		os.Exit(ce.code)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}
