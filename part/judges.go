// What a part's owner runs over its body: the judge of its edits and the
// clockwork that changes it as time passes. The parts themselves are state's.
package part

import "wallport/state"

// Parts is the number of parts.
const Parts = state.Parts

func (s *Seats) judge(part int) state.Judge { return state.JudgeOf(part) }

func (s *Seats) clockwork(part int) state.Clockwork { return state.ClockworkOf(part) }

// Owns tells whether this process owns a part and may take its edits, for tests and metrics.
func (s *Seats) Owns(part int) bool { return s.groups[part].role == owner && s.groups[part].ready }
