// The events a chart takes and the acts it returns.

package search

import "wallport/request/snapshot"

// State is a named state of the chart.
type State string

// The states of an inquiry.
const (
	StRead       State = "read"
	StClassified State = "classified"
	StLetIn      State = "let_in"
	StPicked     State = "picked"
	StAsked      State = "asked"
	StReAsked    State = "re_asked"
	StGathered   State = "gathered"
	StAnswered   State = "answered"
	StShed       State = "shed"
	StGivenUp    State = "given_up"
)

// Event is one of the types below.
type Event any

type (
	// Begin starts the chart.
	Begin struct{}
	// Claimed tells what the homes said of the inquiry's key.
	Claimed struct{ Verdict Verdict }
	// Replied tells what became of an ask.
	Replied struct {
		N     int
		Reply Reply
	}
	// Due tells that the moment of the last Wake has come.
	Due struct{}
)

// Verdict on a claim: in, running, done, conflict, short (too few homes answer) or
// unknown (those that answer have lost what they knew).
type Verdict struct {
	Code string
	// Token names this one claim, for its release.
	Token string
	Why   string
	Body  []byte
	// Repeat tells that an earlier try under the key reached a server.
	Repeat bool
}

// Reply classes.
const (
	ReplyOK         = "ok"
	ReplyNotWritten = "not_written"
	ReplyShed       = "shed"
	ReplyFailed     = "failed"
	ReplyGarbage    = "garbage"
	ReplyAbsent     = "absent"
)

// Reply is a checked answer of a server.
type Reply struct {
	Class       string
	Why         string
	Records     []Record
	Incarnation int64
	Usage       int64
}

// Record is one record.
type Record struct {
	ID    string `json:"id"`
	Score int64  `json:"score"`
	Body  string `json:"body,omitempty"`
}

// Ask is a message to a server.
type Ask struct {
	N       int
	ID      string
	Server  *snapshot.Server
	Shard   int
	Shards  int
	Cut     string
	Within  int64
	Inquiry *Inquiry
	// Again marks a repeated try, which the budget paid for.
	Again bool
	// Instead marks one that takes the place of a try that was never written.
	Instead bool
}

// Act is one of the types below, or an Ask.
type Act any

type (
	// Cancel gives an ask up; its answer is not wanted any more.
	Cancel struct{ N int }
	// Claim asks the homes of a key; First is the caller's word that it never sent it before.
	Claim struct {
		Key    string
		Index  string
		Sum    uint64
		First  bool
		Within int64
		// Again asks only whether a search or read was sent before.
		Again bool
	}
	// Settle tells the homes what a claim came to.
	Settle struct {
		Key     string
		Code    string
		Token   string
		Tried   bool
		Outcome Outcome
	}
	// Wake asks for a Due at a moment.
	Wake struct{ At int64 }
	// Finish gives the final outcome.
	Finish struct{ Outcome Outcome }
)

// Outcome codes beside ok are the names of the API's failures.
const (
	OK             = "ok"
	Malformed      = "malformed"
	Unknown        = "unknown"
	OverCeiling    = "over_ceiling"
	Shed           = "shed"
	GivenUp        = "given_up"
	OutcomeUnknown = "outcome_unknown"
	Conflict       = "conflict"
)

// Outcome is what the caller is told.
type Outcome struct {
	ID      string
	Code    string
	Why     string
	Ran     string
	Retry   int
	Cut     string
	Shard   int
	Shards  []int
	Missing []int
	Records []Record
	Repeat  bool
}
