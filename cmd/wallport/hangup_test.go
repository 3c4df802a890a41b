package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// ignoredAtStart reports whether SIGHUP was ignored before main began.
var ignoredAtStart = signal.Ignored(syscall.SIGHUP)

// printIgnoredArgument is the argument with which this program prints ignoredAtStart instead of running tests.
const printIgnoredArgument = "print-whether-sighup-is-ignored"

func TestMain(m *testing.M) {
	if slices.Contains(os.Args, printIgnoredArgument) {
		fmt.Print(ignoredAtStart)
		return
	}
	os.Exit(m.Run())
}

func TestHangupIsIgnoredDuringStartOnPlatform(t *testing.T) {
	// Child processes inherit an ignored signal, as under nohup, but not a caught one. SIGHUP is caught here so
	// that the child starts with its default action.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	t.Cleanup(func() { signal.Stop(hangups) })
	for _, c := range []struct{ arg, want string }{{"--on-platform", "true"}, {"--name", "false"}} {
		out, err := exec.Command(os.Args[0], printIgnoredArgument, c.arg).Output()
		must.NoError(t, err)
		must.Eq(t, c.want, string(out), must.Sprint(c.arg))
	}
}
