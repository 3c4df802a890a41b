// What a part's owner runs over its body: the judge of its edits and the
// clockwork that changes it as time passes. The parts themselves are state's.
package part

import (
	"wallport/state"
	"wallport/wire"
)

// Parts is the number of parts.
const Parts = state.Parts

func (s *Seats) judge(part int) state.Judge { return state.JudgeOf(part) }

func (s *Seats) clockwork(part int) state.Clockwork { return state.ClockworkOf(part) }

// Owns tells whether this process owns a part and may take its edits, for tests and metrics.
func (s *Seats) Owns(part int) bool { return s.groups[part].role == owner && s.groups[part].ready }

// ID is the seat's id, made on its empty disk.
func (s *Seats) ID() string { return s.seat }

// SeatsOf lists the seats of a part's newest committed version that is known here.
func (s *Seats) SeatsOf(part int) []wire.Seat { return s.groups[part].served.Seats }
