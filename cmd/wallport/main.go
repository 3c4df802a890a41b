// Command wallport is the whole product. Its sub-commands run the two roles, node and core, and operate a fleet.
//
// This package parses the command lines, prints results and connects the components of each role; everything else
// is in separate packages.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// release is the version of the program. It is a variable so that the linker can set it.
var release = "0.1.0"

// Exit codes, for scripts.
const (
	exitFailed = 1
	exitUsage  = 2
	// exitInvalid means that settings or a configuration have findings, which were printed.
	exitInvalid = 3
	// exitLostRace means that another edit was committed first.
	exitLostRace = 4
	// exitUnknown means that the edit may or may not have been committed. A retry with the same edit id is safe.
	exitUnknown = 5
	// exitOverloaded means that nothing was changed and the command may be retried.
	exitOverloaded = 6
)

// exitError is an error with the exit code of the command.
type exitError struct {
	code int
	text string
}

func (c exitError) Error() string { return c.text }

// options contains the sub-commands and global flags.
type options struct {
	Release  func()      `long:"version" description:"show the release and exit"`
	Node     nodeCmd     `command:"node" description:"run a node: mesh, caller API, operator API; needs no disk"`
	Core     coreCmd     `command:"core" description:"run a core: seats of the control state, on a machine with a disk"`
	Admin    adminCmd    `command:"admin" description:"operate a running fleet through any of its nodes"`
	Explain  explainCmd  `command:"explain" description:"tell why an inquiry went where it went"`
	CheckEnv checkEnvCmd `command:"check-env" description:"check an env file and list every finding"`
}

func main() {
	var opts options
	opts.Release = func() {
		fmt.Println("wallport " + release)
		os.Exit(0)
	}
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "wallport is a search front over sharded indexes. Exit codes: 1 failed, 2 usage, 3 findings, 4 lost a race, 5 outcome unknown, 6 try again."
	_, err := parser.Parse()
	if err == nil {
		return
	}
	var usage *flags.Error
	var exit exitError
	switch {
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(err)
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	case errors.As(err, &exit):
		fmt.Fprintln(os.Stderr, exit.text)
		os.Exit(exit.code)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}
