package history

import "math"

// Never is the end of an operation whose effect may still come.
const Never = math.MaxInt64

// Kind is what an operation does to its register.
type Kind uint8

// Kinds of operations.
const (
	// Change replaces the version Base by the version ID, if Base is the current one.
	Change Kind = iota
	// Set puts the value ID, whatever the current one is.
	Set
	// Read asks for the current value.
	Read
)

// Outcome is what the client learned.
type Outcome uint8

// Outcomes of operations.
const (
	// Unknown means that no final answer came: the operation may have taken effect, or may do so later.
	Unknown Outcome = iota
	// Accepted is an acknowledgement, or the value of a read.
	Accepted
	// Refused is a final answer that the change is not accepted and never will be by this call.
	Refused
)

// Configuration is the name of the configuration's register.
const Configuration = "configuration"

// Zone returns the name of the register of a zone's drain state.
func Zone(zone string) string { return "zone " + zone }

// Values of a zone's register.
const (
	Drained  = "drained"
	Restored = ""
)

// Operation is one logical call of a client, with all its retries.
type Operation struct {
	Register string
	Client   int
	Kind     Kind
	// ID is the value that it writes; the same ID is the same order sent again.
	ID string
	// Version is the name that later changes call its outcome by; ID where it is empty. Two
	// different changes may have the same.
	Version string
	// Base is the version that a change builds on; "" is the empty register.
	Base string
	// Invalid reports that the change may be refused on any version, and must never be accepted.
	Invalid bool
	// Begin and End are the times of the first request and of the final answer, in microseconds.
	Begin, End int64
	Outcome    Outcome
	// Value is what a read returned.
	Value string
}

// History is the operations of one run.
type History struct{ Operations []Operation }

// Add appends an operation. A read without an answer has no meaning and is left out; a write without one may
// take effect at any time after it began.
func (h *History) Add(op Operation) {
	if op.Outcome == Unknown {
		if op.Kind == Read {
			return
		}
		op.End = Never
	}
	h.Operations = append(h.Operations, op)
}
