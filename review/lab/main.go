// Command lab runs the cases of the review against the project's own processes, on loopback addresses.
//
// Its arguments are the name of the case, the program to run (target/wallport) and the path of the record file. It
// exits with 1 if the processes broke the rule that the case tests, with 0 if the rule held and with 2 if the case
// could not run. With TROUBLE=0 in the environment, the case is run without its disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken is wrapped by the error of a case in which the rule was broken. Any other error means that the case could
// not run.
var errBroken = errors.New("the rule is broken")

// cases holds the cases by name. The init function of each case's file adds its case.
var cases = map[string]func(f *fleet, disrupt bool) error{}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE PROGRAM RECORD")
		return exitNotRun
	}
	program, err := filepath.Abs(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	f, err := newFleet(rec, program, dir, 3)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stopAll()
	go stopOnSignalOrTimeout(f)
	err = cases[args[0]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		rec.event("verdict: the rule held")
		fmt.Println("held")
		return exitHeld
	case errors.Is(err, errBroken):
		rec.event("verdict: %v", err)
		fmt.Println(err)
		return exitBroken
	}
	rec.event("verdict: could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return exitNotRun
}

// maxCaseTime is the maximum duration of a case.
const maxCaseTime = 115 * time.Second

// stopOnSignalOrTimeout stops all processes and exits when this program receives SIGTERM or SIGINT, or when the case
// has taken maxCaseTime.
func stopOnSignalOrTimeout(f *fleet) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(maxCaseTime):
	}
	f.rec.event("verdict: could not run to its end")
	f.stopAll()
	os.RemoveAll(f.dir)
	os.Exit(exitNotRun)
}
