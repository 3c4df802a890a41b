// Package rules judges a day on the users' platform by its journal: what
// clients, backends, operators and the platform saw from outside, and when
// machines were in trouble. Each rule is one function over the whole journal.
// Times are microseconds since the day's begin.
package rules

import (
	"math"

	"wallport/api/routingpb"
	"wallport/runtime/clock"
)

// Never is a moment that has not come.
const Never = math.MaxInt64

// Names of the rules.
const (
	Mixed    = "MIXED"
	Unasked  = "UNASKED"
	Twice    = "TWICE"
	Refused  = "REFUSED"
	Denied   = "DENIED"
	Route    = "ROUTE"
	Drain    = "DRAIN"
	Lost     = "LOST"
	Config   = "CONFIG"
	Budget   = "BUDGET"
	Failback = "FAILBACK"
	Evac     = "EVAC"
	Recover  = "RECOVER"
	Acks     = "ACKS"
)

// Parts of rules that are counted for themselves, so that a sweep can tell whether they were put to the test.
const (
	// LostPlanned are requests near planned work that the rule LOST was put to.
	LostPlanned = "LOST near planned work"
	// MixedFailure are failures with a backend's seal, whose status must be that backend's.
	MixedFailure = "MIXED in failures"
	// ConfigRepeat are repeats of acknowledged changes, ConfigNumber pairs of changes under one number.
	ConfigRepeat = "CONFIG of repeats"
	ConfigNumber = "CONFIG of one number"
	// BudgetAttempt are tries that ran on more than one backend of a service.
	BudgetAttempt = "BUDGET of one try"
	// DrainUnsettled are arrivals at leaving backends whose time ran while the core was not settled.
	DrainUnsettled = "DRAIN over an unsettled core"
)

// Names lists every rule and every part of one that is counted.
func Names() []string {
	return []string{
		Mixed, Unasked, Twice, Refused, Denied, Route, Drain, Lost, Config, Budget, Failback, Evac, Recover, Acks,
		LostPlanned, MixedFailure, ConfigRepeat, ConfigNumber, BudgetAttempt, DrainUnsettled,
	}
}

// Bounds are the figures of the rules.
type Bounds struct {
	ContactUs, AckUs, DrainUs, GraceUs, LossUs, ApplyUs, StretchUs, EvacuateUs, RecoverUs clock.Micros
	RetryRatio, RetryAllowance                                                            float64
	RetryWindowUs                                                                         clock.Micros
	SlowStartOverrun, SlowStartTolerance                                                  float64
}

// Attempt is one try of a client.
type Attempt struct {
	ID, Class, Client, Zone, Machine string
	Host, Method, Target, Path       string
	Body                             []byte
	Repeatable, Probe                bool
	Sent, Read, Ended, Deadline      clock.Micros
	// Status is what the client got; 0 is none. Own tells that it was the node's own answer.
	Status          int
	Generated       bool
	Seal            string
	Seals           []string
	Missing         int
	Answer          []byte
	RetryAfterUs    clock.Micros
	Aborted, GaveUp bool
	AfterStop       bool
	Late, Further   bool
}

// Served tells that the client got a success.
func (attempt *Attempt) Served() bool { return attempt.Status >= 200 && attempt.Status < 300 }

// Arrival is a request that reached a backend.
type Arrival struct {
	Attempt        string
	Backend        *Backend
	Machine        string
	Method, Target string
	Body           []byte
	Sent, At       clock.Micros
	// Ran tells that work began; Wrong that the backend was not the one meant; Held that the way to it was cut.
	Ran, Wrong, Held bool
	Status           int
	Seal             string
	Answer           []byte
}

// Backend is one life of a backend.
type Backend struct {
	ID, Pool, Zone string
	Born, Ended    clock.Micros
	// Shown is when the platform's list first shows that it leaves.
	Shown clock.Micros
	// SlowStart are the times in which it bears SlowStartPerS requests a second; 0 is any number.
	SlowStart     Spans
	SlowStartPerS float64
}

// Version is a configuration that an operator sent.
type Version struct {
	Revision, Base int64
	// Table is the whole configuration that it makes, nil where none can be made of it.
	Table *routingpb.RoutingTable
	// Sent is when it was sent first; Acked and Refused are when the answer came, or Never.
	Sent, Acked, Refused clock.Micros
	// FirstAcked is when the first acknowledgement left a machine, lost on its way or not, and RefusedAgain when
	// a repeat of what was acknowledged was refused; 0 is never. Repeats counts those repeats.
	FirstAcked, RefusedAgain clock.Micros
	Repeats                  int64
	Invalid                  bool
	// Alone tells that it was sent on top of the newest version, with no rival.
	Alone bool
}

// Evacuation is an evacuation: Acked and Back are when it was acknowledged and when its end was first asked for.
type Evacuation struct {
	Zone         string
	Sent, Acked  clock.Micros
	RestoreSent  clock.Micros
	RestoreAcked clock.Micros
	// FirstAcked and RestoreFirstAcked are when the first acknowledgement left a machine, lost on its way or not; 0 is never.
	FirstAcked, RestoreFirstAcked clock.Micros
}

// ZoneCall is an operator's call about a zone that is no planned evacuation: one that is given up on
// its way, or the one that takes the zone back. Acked is Never where its outcome is not known.
type ZoneCall struct {
	Zone        string
	Drains      bool
	Sent, Acked clock.Micros
}

// InForce is what a node had in force at a moment; Life counts the starts of its process.
type InForce struct {
	Machine     string
	Incarnation int
	At          clock.Micros
	Revision    int64
}

// Reading is a configuration that was read back; Asked is when the question was sent that it answers.
type Reading struct {
	RequestedAt clock.Micros
	At          clock.Micros
	Table       *routingpb.RoutingTable
}

// ConfirmedReading is a read that a majority confirmed between Sent and At.
type ConfirmedReading struct {
	Sent, At clock.Micros
	Table    *routingpb.RoutingTable
	Drained  []string
	// TableOnly is that it tells nothing of drained zones.
	TableOnly bool
}

// Closing is the fault at the end of a day: Last is when it struck, Back when the machines ran again.
type Closing struct{ At, Back clock.Micros }

// Journal is all that is known of a day.
type Journal struct {
	Bounds      Bounds
	Faults      FaultSpans
	Attempts    []*Attempt
	Arrivals    []*Arrival
	Versions    []*Version
	Evacuations []*Evacuation
	// ZoneCalls are further calls about zones.
	ZoneCalls []*ZoneCall
	Backends  []*Backend
	InForce   []InForce
	ReadBack  []Reading
	// Confirmed are the readings that histories are judged by.
	Confirmed []ConfirmedReading
	Closing   *Closing
	// Drained are the zones that the nodes hold to be evacuated at the end, by machine.
	Drained map[string][]string
	End     clock.Micros

	Findings []Finding
	Tested   map[string]int64
	Broken   map[string]int64

	attempts          map[string]*Attempt
	arrivalsByAttempt map[string][]*Arrival
}

// Finding is a broken rule.
type Finding struct {
	Rule string
	At   clock.Micros
	Text string
}
