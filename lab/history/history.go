package history

import "math"

// Never is the end of an operation that may still take effect.
const Never = math.MaxInt64

// Kind is the kind of an operation on a register.
type Kind uint8

// Kinds of operations.
const (
	// Change replaces the version Base by the version ID, if Base is the current one.
	Change Kind = iota
	// Set writes the value ID unconditionally.
	Set
	// Read returns the current value.
	Read
)

// Outcome is the outcome of an operation as known to the client.
type Outcome uint8

// Outcomes of operations.
const (
	// Unknown means that no final answer arrived: the operation may have taken effect or may still do so.
	Unknown Outcome = iota
	// Accepted means that a write was acknowledged, or that a read returned a value.
	Accepted
	// Refused means that the change was finally rejected: this call has not taken effect and never will.
	Refused
)

// Configuration is the name of the register that holds the configuration.
const Configuration = "configuration"

// Zone returns the name of the register that holds a zone's drain state.
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
	// ID is the value that the operation writes. Operations with equal IDs are retries of the same command.
	ID string
	// Version is the name by which later changes refer in Base to the result of this change; "" means that the name
	// is ID. Different changes may have the same Version.
	Version string
	// Base is the version on which a change is based; "" is the empty register.
	Base string
	// Invalid reports that the change may be refused on any version and must never be accepted.
	Invalid bool
	// Begin is the time of the first request and End that of the final answer, in microseconds.
	Begin, End int64
	Outcome    Outcome
	// Value is the value that a read returned.
	Value string
}

// History holds the operations of one run.
type History struct{ Operations []Operation }

// Add appends an operation. It drops a read without an answer, which constrains nothing. A write without a final
// answer may take effect at any time after Begin, so Add sets its End to Never.
func (h *History) Add(op Operation) {
	if op.Outcome == Unknown {
		if op.Kind == Read {
			return
		}
		op.End = Never
	}
	h.Operations = append(h.Operations, op)
}
