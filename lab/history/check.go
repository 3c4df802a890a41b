// The linearizability check of a history, separately for each register. The search is bounded by steps, not by time,
// so that the result is the same on every machine.

package history

import (
	"fmt"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"
)

// MaxSteps is the maximum number of steps in the search for a sequential order of one register's operations.
const MaxSteps = 2_000_000

// maxShownOperations is the maximum number of operations listed in an error.
const maxShownOperations = 12

// NotLinearizable is the error for a register whose operations are not explained by any sequential order.
type NotLinearizable struct {
	Register   string
	Operations []Operation
}

func (e *NotLinearizable) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: not linearizable: no sequential order explains its %d operations", e.Register, len(e.Operations))
	for i, op := range e.Operations {
		if i == maxShownOperations {
			b.WriteString("; ...")
			break
		}
		b.WriteString("; " + op.String())
	}
	return b.String()
}

// Undecided is the error for a register whose search reached the bound on steps.
type Undecided struct {
	Register string
	Steps    int
}

func (e *Undecided) Error() string {
	return fmt.Sprintf("%s: linearizability undecided after %d search steps", e.Register, e.Steps)
}

func (op Operation) String() string {
	kind := []string{"change", "set", "read"}[op.Kind]
	outcome := []string{"unknown", "accepted", "refused"}[op.Outcome]
	text := fmt.Sprintf("client %d %s", op.Client, kind)
	if op.Kind == Read {
		return fmt.Sprintf("%s = %q [%d,%d]", text, op.Value, op.Begin, op.End)
	}
	if op.Kind == Change {
		text += fmt.Sprintf(" %q on %q", op.ID, op.Base)
	} else {
		text += fmt.Sprintf(" %q", op.ID)
	}
	if op.End == Never {
		return fmt.Sprintf("%s %s [%d,-]", text, outcome, op.Begin)
	}
	return fmt.Sprintf("%s %s [%d,%d]", text, outcome, op.Begin, op.End)
}

// Check returns one error for each register that is not linearizable or undecided: *NotLinearizable or *Undecided.
func (h *History) Check() []error {
	registers := map[string][]Operation{}
	var names []string
	for _, op := range h.Operations {
		if registers[op.Register] == nil {
			names = append(names, op.Register)
		}
		registers[op.Register] = append(registers[op.Register], op)
	}
	slices.Sort(names)
	var errs []error
	for _, name := range names {
		if err := checkRegister(name, registers[name], MaxSteps); err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

func checkRegister(name string, operations []Operation, limit int) error {
	r := newRegister(operations, limit)
	events := make([]porcupine.Operation, len(operations))
	for i := range operations {
		op := &operations[i]
		events[i] = porcupine.Operation{ClientId: op.Client, Input: op, Call: op.Begin, Return: op.End}
	}
	ok := porcupine.CheckOperations(r.model(), events)
	switch {
	case ok:
		return nil
	case r.steps > r.limit:
		return &Undecided{Register: name, Steps: r.limit}
	default:
		return &NotLinearizable{Register: name, Operations: operations}
	}
}
