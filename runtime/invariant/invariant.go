// Package invariant names the promises that the running code checks itself. A
// violation is counted by name and logged; in tests, and where a runner asks for
// it, it ends the process. A check never changes what the program does next.
package invariant

import (
	"fmt"
	"sync/atomic"
	"testing"
)

// Name is the name of an invariant, as the counters and the log show it.
type Name string

// The invariants of the request path.
const (
	// AtMostOnce: a request that may run once is not sent while an earlier sending of it may have run.
	AtMostOnce Name = "runs_once"
	// RejectedNotRun: a request that may run once is refused only if no backend has it or may have run it.
	RejectedNotRun Name = "refused_not_run"
	// SuccessSealed: a success is a backend's success, with its seal.
	SuccessSealed Name = "success_sealed"
	// ShardsComplete: a gathered success has enough parts, each with a seal of its own.
	ShardsComplete Name = "parts_complete"
	// NoSendAfterOutcome: nothing is sent for a request that has its outcome.
	NoSendAfterOutcome Name = "no_ask_after_end"
	// BackendsWithinRoute: a request is sent to no more backends of a pool than its route allows.
	BackendsWithinRoute Name = "backends_within_route"
	// NoSendToDraining: a backend that leaves, or is in a drained zone, is not chosen.
	NoSendToDraining Name = "not_to_leaving"
	// GaugesNotNegative: what is counted up and down never falls below zero.
	GaugesNotNegative Name = "gauges_not_negative"
)

// The invariants of the control state.
const (
	// OneLeader: a replica hears one leader in each term.
	OneLeader Name = "one_leader"
	// LeaderInItsTerm: a leader commits only while it has voted no later term than its own.
	LeaderInItsTerm Name = "leader_in_its_term"
	// OneContentPerVersion: a version stands for one content.
	OneContentPerVersion Name = "version_content"
	// RevisionIncreases: the revision of the routing table rises from one committed version to the next.
	RevisionIncreases Name = "revision_rises"
	// ConfigIncreases: what a process has in force never goes back.
	ConfigIncreases Name = "config_rises"
	// OneLeaseHolder: a lease is granted to one holder at a time.
	OneLeaseHolder Name = "one_lease_holder"
)

// All lists every invariant.
func All() []Name {
	return []Name{
		AtMostOnce, RejectedNotRun, SuccessSealed, ShardsComplete, NoSendAfterOutcome, BackendsWithinRoute, NoSendToDraining, GaugesNotNegative,
		OneLeader, LeaderInItsTerm, OneContentPerVersion, RevisionIncreases, ConfigIncreases, OneLeaseHolder,
	}
}

// Event is the name of the log line of a violation.
const Event = "invariant_violated"

// Counter is the name of an invariant's counter of violations.
func Counter(n Name) string { return fmt.Sprintf("invariant_violations{invariant=%q}", string(n)) }

// Violation is what a process ends with where violations are fatal.
type Violation struct {
	Name   Name
	Detail string
}

func (v Violation) Error() string { return string(v.Name) + ": " + v.Detail }

var fatal atomic.Bool

// SetFatal has every violation end the process from now on.
func SetFatal() { fatal.Store(true) }

// PanicIfFatal ends the process with a violation, in tests and where SetFatal was called.
func PanicIfFatal(n Name, detail string) {
	if fatal.Load() || testing.Testing() {
		panic(Violation{n, detail})
	}
}

// Recorder takes the violations that are seen outside the kernel's steps, from any thread.
type Recorder struct {
	// Count raises a counter by its name; Log writes a violation's line. Nil leaves it out.
	Count func(counter string, n int64)
	Log   func(n Name, detail string)
}

// Violated takes a violation; its detail is formatted as by fmt.Sprintf.
func (r *Recorder) Violated(n Name, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	if r != nil && r.Count != nil {
		r.Count(Counter(n), 1)
	}
	if r != nil && r.Log != nil {
		r.Log(n, detail)
	}
	PanicIfFatal(n, detail)
}
