// The sequential specification of one register, for the linearizability checker.

package history

import (
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"
)

// value is the state of a register: the current value, its version, and the IDs of the applied changes among those
// that were sent more than once.
type value struct {
	current string
	version string
	applied string
}

const separator = "\x00"

func (v value) hasApplied(id string) bool { return strings.Contains(v.applied, separator+id+separator) }

// register applies operations to the specification and counts the steps against a limit.
type register struct {
	repeated map[string]bool
	steps    int
	limit    int
}

// newRegister determines which changes were sent more than once. Only for these changes does the state record whether
// they were applied, so that states that allow the same further operations compare equal.
func newRegister(operations []Operation, limit int) *register {
	r := &register{repeated: map[string]bool{}, limit: limit}
	sent := map[string]bool{}
	for _, op := range operations {
		if op.Kind == Change {
			r.repeated[op.ID] = sent[op.ID]
			sent[op.ID] = true
		}
	}
	return r
}

func (r *register) model() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return value{} },
		Step: func(state, input, _ any) (bool, any) {
			r.steps++
			if r.steps > r.limit {
				return false, state
			}
			return r.step(state.(value), input.(*Operation))
		},
	}
}

func (r *register) step(v value, op *Operation) (bool, any) {
	switch op.Kind {
	case Read:
		return op.Value == v.current, v
	case Set:
		return op.Outcome != Refused, value{current: op.ID, version: op.ID, applied: v.applied}
	default:
		return r.change(v, op)
	}
}

// change applies a compare-and-set command. A change with an unknown outcome always takes effect if it is applicable:
// since the search may also place it after all other operations, this covers the case that it had no effect.
func (r *register) change(v value, op *Operation) (bool, any) {
	applies := !op.Invalid && op.Base == v.version && !v.hasApplied(op.ID)
	switch {
	case op.Outcome == Refused:
		return !applies && !v.hasApplied(op.ID), v
	case applies:
		return true, r.apply(v, op)
	case op.Outcome == Unknown:
		return true, v
	default:
		return v.hasApplied(op.ID), v
	}
}

func (r *register) apply(v value, op *Operation) value {
	next := value{current: op.ID, version: op.ID, applied: v.applied}
	if op.Version != "" {
		next.version = op.Version
	}
	if !r.repeated[op.ID] {
		return next
	}
	ids := strings.FieldsFunc(v.applied, func(c rune) bool { return c == 0 })
	ids = append(ids, op.ID)
	slices.Sort(ids)
	next.applied = separator + strings.Join(ids, separator) + separator
	return next
}
