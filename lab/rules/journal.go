package rules

import (
	"math"

	"wallport/api/routingpb"
	"wallport/runtime/clock"
)

// Never is a moment that has not come.
const Never = math.MaxInt64

// Names of the rules, as in findings and counts.
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

// Parts of rules that are counted separately, so that a sweep can tell whether they were tested.
const (
	// LostPlanned counts requests near planned work to which LOST was applied.
	LostPlanned = "LOST near planned work"
	// MixedFailure counts failures with a backend's seal, whose status must be that backend's.
	MixedFailure = "MIXED in failures"
	// ConfigRepeat counts repeats of acknowledged changes, ConfigNumber pairs of changes under one revision.
	ConfigRepeat = "CONFIG of repeats"
	ConfigNumber = "CONFIG of one number"
	// BudgetAttempt counts attempts that ran on more than one backend of a service.
	BudgetAttempt = "BUDGET of one try"
	// DrainUnsettled counts arrivals at draining backends whose time ran while the core was not settled.
	DrainUnsettled = "DRAIN over an unsettled core"
)

// Names returns every rule and every separately counted part.
func Names() []string {
	return []string{
		Mixed, Unasked, Twice, Refused, Denied, Route, Drain, Lost, Config, Budget, Failback, Evac, Recover, Acks,
		LostPlanned, MixedFailure, ConfigRepeat, ConfigNumber, BudgetAttempt, DrainUnsettled,
	}
}

// Bounds are the limits of the rules; times are in microseconds.
type Bounds struct {
	ContactUs, AckUs, DrainUs, GraceUs, LossUs, ApplyUs, StretchUs, EvacuateUs, RecoverUs clock.Micros
	RetryRatio, RetryAllowance                                                            float64
	RetryWindowUs                                                                         clock.Micros
	SlowStartOverrun, SlowStartTolerance                                                  float64
}

// Attempt is one attempt of a client at a request.
type Attempt struct {
	ID, Class, Client, Zone, Machine string
	Host, Method, Target, Path       string
	Body                             []byte
	Repeatable, Probe                bool
	Sent, Read, Ended, Deadline      clock.Micros
	// Status is what the client got, 0 for none. Generated reports that the node itself made the response.
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

// Served reports whether the client got a success.
func (attempt *Attempt) Served() bool { return attempt.Status >= 200 && attempt.Status < 300 }

// Arrival is a request that reached a backend.
type Arrival struct {
	Attempt        string
	Backend        *Backend
	Machine        string
	Method, Target string
	Body           []byte
	Sent, At       clock.Micros
	// Ran reports that work began; Wrong that the backend was not the intended one; Held that a partition
	// delayed the request.
	Ran, Wrong, Held bool
	Status           int
	Seal             string
	Answer           []byte
}

// Backend is one incarnation of a backend.
type Backend struct {
	ID, Pool, Zone string
	Born, Ended    clock.Micros
	// Shown is when the platform's list first shows it as leaving.
	Shown clock.Micros
	// SlowStart holds when it can take only SlowStartPerS requests a second; 0 is no limit.
	SlowStart     Spans
	SlowStartPerS float64
}

// Version is a configuration that an operator sent.
type Version struct {
	Revision, Base int64
	// Table is the complete resulting configuration, nil where there is none.
	Table *routingpb.RoutingTable
	// Sent is when it was first sent; Acked and Refused are when the answer came, or Never.
	Sent, Acked, Refused clock.Micros
	// FirstAcked is when the first acknowledgement left a machine, lost on its way or not, and RefusedAgain when
	// a repeat of an acknowledged change was rejected; 0 is never. Repeats counts those repeats.
	FirstAcked, RefusedAgain clock.Micros
	Repeats                  int64
	Invalid                  bool
	// Alone reports that it was based on the newest version and had no rival.
	Alone bool
}

// Evacuation is a planned evacuation of a zone: Acked is when it was acknowledged, RestoreSent when its end was
// first asked for.
type Evacuation struct {
	Zone         string
	Sent, Acked  clock.Micros
	RestoreSent  clock.Micros
	RestoreAcked clock.Micros
	// FirstAcked and RestoreFirstAcked are when the first acknowledgement left a machine, lost on its way or
	// not; 0 is never.
	FirstAcked, RestoreFirstAcked clock.Micros
}

// ZoneCall is an operator's call about a zone that is not a planned evacuation: one that is given up on its way,
// or the one that restores the zone. Acked is Never where its outcome is not known.
type ZoneCall struct {
	Zone        string
	Drains      bool
	Sent, Acked clock.Micros
}

// InForce is the configuration that a node had in force at a moment; Incarnation counts the starts of its
// process.
type InForce struct {
	Machine     string
	Incarnation int
	At          clock.Micros
	Revision    int64
}

// Reading is a configuration that was read back; RequestedAt is when the request was sent that it answers.
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
	// TableOnly reports that it does not include drained zones.
	TableOnly bool
}

// Closing is the fault at the end of a day: At is when it struck, Back when the machines ran again.
type Closing struct{ At, Back clock.Micros }

// Journal is everything that was observed in a day, and what the rules found in it.
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
	// Confirmed are the readings that histories are checked against.
	Confirmed []ConfirmedReading
	Closing   *Closing
	// Drained holds the zones that each machine's node takes for evacuated at the end.
	Drained map[string][]string
	End     clock.Micros

	Findings []Finding
	Tested   map[string]int64
	Broken   map[string]int64

	attempts          map[string]*Attempt
	arrivalsByAttempt map[string][]*Arrival
}

// Finding is a violation of a rule.
type Finding struct {
	Rule string
	At   clock.Micros
	Text string
}
