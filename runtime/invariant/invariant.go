// Package invariant defines the guarantees that the code checks at run time.
//
// A violation is counted by the invariant's name and logged. In tests, and after [SetFatal], it also
// panics. Otherwise a check never changes the behaviour of the program. The package holds only the
// setting whether violations are fatal; counters and logs belong to the code that reports a violation.
package invariant

import (
	"fmt"
	"sync/atomic"
	"testing"
)

// Name is the name of an invariant in counters and logs.
type Name string

// The invariants of the request path. A backend "may have run" a request once a byte of the request has
// been sent to it.
const (
	// AtMostOnce: a request that is not idempotent is not sent while an earlier attempt at it may have run.
	AtMostOnce Name = "runs_once"
	// RejectedNotRun: a request that is not idempotent is rejected only if no backend is processing it
	// or may have run it.
	RejectedNotRun Name = "refused_not_run"
	// SuccessSealed: a request succeeds only with a backend's successful response that carries a seal.
	SuccessSealed Name = "success_sealed"
	// ShardsComplete: a merged success has responses from enough shards, each with a seal of its own.
	ShardsComplete Name = "parts_complete"
	// NoSendAfterOutcome: once a request has its outcome, no further attempt is sent.
	NoSendAfterOutcome Name = "no_ask_after_end"
	// BackendsWithinRoute: a request is sent to no more backends of a pool than its route allows.
	BackendsWithinRoute Name = "backends_within_route"
	// NoSendToDraining: a backend that is draining, or is in a drained zone, is not selected.
	NoSendToDraining Name = "not_to_leaving"
	// GaugesNotNegative: a gauge never falls below zero.
	GaugesNotNegative Name = "gauges_not_negative"
)

// The invariants of the control state.
const (
	// OneLeader: in each term, a replica receives messages of only one leader.
	OneLeader Name = "one_leader"
	// LeaderInItsTerm: a leader commits only versions of its own term, and only while it has voted in no
	// later term.
	LeaderInItsTerm Name = "leader_in_its_term"
	// OneContentPerVersion: two replicas that have stored the same version have the same body for it.
	OneContentPerVersion Name = "version_content"
	// RevisionIncreases: the revision of the routing table increases from one committed version to the next.
	RevisionIncreases Name = "revision_rises"
	// ConfigIncreases: the configuration in force in a process never goes back to an older version.
	ConfigIncreases Name = "config_rises"
	// OneLeaseHolder: a lease is granted to one holder at a time.
	OneLeaseHolder Name = "one_lease_holder"
)

// All returns every invariant.
func All() []Name {
	return []Name{
		AtMostOnce, RejectedNotRun, SuccessSealed, ShardsComplete, NoSendAfterOutcome, BackendsWithinRoute, NoSendToDraining, GaugesNotNegative,
		OneLeader, LeaderInItsTerm, OneContentPerVersion, RevisionIncreases, ConfigIncreases, OneLeaseHolder,
	}
}

// Event is the log event of a violation.
const Event = "invariant_violated"

// Counter returns the name of the counter of an invariant's violations.
func Counter(n Name) string { return fmt.Sprintf("invariant_violations{invariant=%q}", string(n)) }

// Violation is the panic value of a fatal violation.
type Violation struct {
	Name   Name
	Detail string
}

func (v Violation) Error() string { return string(v.Name) + ": " + v.Detail }

var fatal atomic.Bool

// SetFatal makes every violation panic from now on.
func SetFatal() { fatal.Store(true) }

// PanicIfFatal panics with a Violation in tests and after SetFatal, and does nothing otherwise.
func PanicIfFatal(n Name, detail string) {
	if fatal.Load() || testing.Testing() {
		panic(Violation{n, detail})
	}
}

// Recorder records violations that are found outside the kernel's steps. It is safe for concurrent use. A
// nil Recorder neither counts nor logs, but panics if violations are fatal.
type Recorder struct {
	// Count adds to a counter by its name; Log logs a violation. Either may be nil.
	Count func(counter string, n int64)
	Log   func(n Name, detail string)
}

// Violated records a violation. Its detail is formatted as by fmt.Sprintf.
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
