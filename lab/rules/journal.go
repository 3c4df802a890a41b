package rules

import (
	"math"

	"wallport/api/routingpb"
	"wallport/runtime/clock"
)

// Never is the time of an event that has not happened.
const Never = math.MaxInt64

// Names of the rules, as used in findings and counts.
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

// Parts of rules that are counted separately, so that a set of runs can be checked for having tested each part.
const (
	// LostPlanned counts the requests during planned work to which LOST was applied.
	LostPlanned = "LOST near planned work"
	// MixedFailure counts failures that carry a backend's seal; their status must equal that backend's status.
	MixedFailure = "MIXED in failures"
	// ConfigRepeat counts acknowledged changes that were retried, ConfigNumber valid changes whose revision an
	// earlier valid change has already.
	ConfigRepeat = "CONFIG of repeats"
	ConfigNumber = "CONFIG of one number"
	// BudgetAttempt counts attempts that ran on more than one backend of a service.
	BudgetAttempt = "BUDGET of one try"
	// DrainUnsettled counts the arrivals to which DRAIN was applied although the core was unsettled at some time
	// within the DrainUs after the backend was first shown as leaving.
	DrainUnsettled = "DRAIN over an unsettled core"
)

// Names returns every rule and every separately counted part.
func Names() []string {
	return []string{
		Mixed, Unasked, Twice, Refused, Denied, Route, Drain, Lost, Config, Budget, Failback, Evac, Recover, Acks,
		LostPlanned, MixedFailure, ConfigRepeat, ConfigNumber, BudgetAttempt, DrainUnsettled,
	}
}

// Bounds holds the limits of the rules; times are in microseconds.
type Bounds struct {
	ContactUs, AckUs, DrainUs, GraceUs, LossUs, ApplyUs, StretchUs, EvacuateUs, RecoverUs clock.Micros
	RetryRatio, RetryAllowance                                                            float64
	RetryWindowUs                                                                         clock.Micros
	SlowStartOverrun, SlowStartTolerance                                                  float64
}

// Attempt is one attempt of a client to send a request, and its outcome.
type Attempt struct {
	ID, Class, Client, Zone, Machine string
	Host, Method, Target, Path       string
	Body                             []byte
	Repeatable, Probe                bool
	Sent, Read, Ended, Deadline      clock.Micros
	// Status is the HTTP status that the client received, 0 if none. Generated reports that the node itself, not a
	// backend, produced the response.
	Status            int
	Generated         bool
	Seal              string
	Seals             []string
	Missing           int
	Answer            []byte
	RetryAfterUs      clock.Micros
	Aborted, Canceled bool
	AfterStop         bool
	Late, Further     bool
}

// Served reports whether the client received a success status.
func (attempt *Attempt) Served() bool { return attempt.Status >= 200 && attempt.Status < 300 }

// Arrival is a request that reached a backend.
type Arrival struct {
	Attempt        string
	Backend        *Backend
	Machine        string
	Method, Target string
	Body           []byte
	Sent, At       clock.Micros
	// Ran reports that the backend began to process the request, Misrouted that the backend was not the intended one,
	// and DelayedByPartition that a network partition delayed the request.
	Ran, Misrouted, DelayedByPartition bool
	Status                             int
	Seal                               string
	Answer                             []byte
}

// Backend is one incarnation of a backend.
type Backend struct {
	ID, Pool, Zone   string
	StartedAt, Ended clock.Micros
	// DrainingSince is the time at which the platform's list first showed the backend as leaving.
	DrainingSince clock.Micros
	// SlowStart holds the spans in which the backend can handle only SlowStartPerS requests per second; 0 means no
	// limit.
	SlowStart     Spans
	SlowStartPerS float64
}

// Version is a configuration that an operator sent, and its answers.
type Version struct {
	Revision, Base int64
	// Table is the complete resulting configuration, nil if there is none.
	Table *routingpb.RoutingTable
	// Sent is the time at which the version was first sent; Acked and Refused are the times of the answer, or Never.
	Sent, Acked, Refused clock.Micros
	// FirstAcked is the time at which a machine sent the first acknowledgement, whether or not it arrived.
	// RefusedAgain is the time at which a retry of an acknowledged change was rejected. Both are 0 if that never
	// happened. Repeats counts the retries of acknowledged changes.
	FirstAcked, RefusedAgain clock.Micros
	Repeats                  int64
	Invalid                  bool
	// Uncontested reports that the version was based on the newest one and that no concurrent change had the same base.
	Uncontested bool
}

// Evacuation is a planned evacuation of a zone. Acked is the time at which it was acknowledged, RestoreSent the time
// at which the operator first requested its end.
type Evacuation struct {
	Zone         string
	Sent, Acked  clock.Micros
	RestoreSent  clock.Micros
	RestoreAcked clock.Micros
	// FirstAcked and RestoreFirstAcked are the times at which a machine sent the first acknowledgement, whether or
	// not it arrived; 0 means never.
	FirstAcked, RestoreFirstAcked clock.Micros
}

// ZoneCall is an operator's call on a zone outside of planned evacuations: a drain that the operator abandons before
// the answer, or the call that restores the zone. Acked is Never if the outcome is unknown.
type ZoneCall struct {
	Zone        string
	Drains      bool
	Sent, Acked clock.Micros
}

// InForce is the revision of the configuration that a node had in force at a time; Incarnation counts the starts of
// its process.
type InForce struct {
	Machine     string
	Incarnation int
	At          clock.Micros
	Revision    int64
}

// Reading is a configuration that was read back. RequestedAt is the time of the request, At the time of the answer.
type Reading struct {
	RequestedAt clock.Micros
	At          clock.Micros
	Table       *routingpb.RoutingTable
}

// ConfirmedReading is a read that a majority of the voters confirmed between Sent and At.
type ConfirmedReading struct {
	Sent, At clock.Micros
	Table    *routingpb.RoutingTable
	Drained  []string
	// TableOnly reports that the reading does not include drained zones.
	TableOnly bool
}

// FinalFault is the fault at the end of a day: At is the time of the fault, Back the time at which the machines were
// running again.
type FinalFault struct{ At, Back clock.Micros }

// Journal holds all observations of a day and the findings of the rules.
type Journal struct {
	Bounds      Bounds
	Faults      FaultSpans
	Attempts    []*Attempt
	Arrivals    []*Arrival
	Versions    []*Version
	Evacuations []*Evacuation
	// ZoneCalls holds the calls on zones that are not planned evacuations.
	ZoneCalls []*ZoneCall
	Backends  []*Backend
	InForce   []InForce
	ReadBack  []Reading
	// Confirmed holds the readings for the linearizability check.
	Confirmed  []ConfirmedReading
	FinalFault *FinalFault
	// Drained holds, by machine, the zones that its node considers evacuated at the end.
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
