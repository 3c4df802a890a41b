// The history of configuration edits as operations on a register, for the linearizability checker. The simulator and
// the fleet of real processes both use it.

package check

import (
	"fmt"

	"wallport/lab/history"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// NotLinearizable is the name of the rule that some sequential order of the operators' calls explains their answers.
const NotLinearizable = "not_linearizable"

// History returns the operators' calls on the configuration and on zones, with the outcomes of the calls.
func (c *Checker) History() *history.History {
	s := &c.edits
	seenAt := map[int64]wire.Version{}
	for at, mark := range s.marks {
		seenAt[mark] = at
	}
	h := &history.History{}
	if s.first.Term > 0 {
		h.Add(history.Operation{Register: "sheet", Kind: history.Change, ID: firstConfig, Version: versionText(s.first), End: 1, Outcome: history.Accepted})
	}
	for i, mark := range s.order {
		t := s.byMark[mark]
		outcome, possible := outcomeOf(t.Code)
		if !possible {
			continue
		}
		at := t.Version
		if outcome == history.Unknown {
			at = seenAt[mark]
		}
		h.Add(history.Operation{
			Register: "sheet", Client: i, Kind: history.Change, ID: editName(mark), Version: versionText(at), Base: versionText(t.Base),
			Invalid: t.Invalid, Begin: t.Began, End: t.Ended, Outcome: outcome,
		})
	}
	for _, op := range c.otherOperations {
		h.Add(op)
	}
	return h
}

// ConfigRead records a majority-confirmed read of the newest configuration: the mark and the version that it returned.
func (c *Checker) ConfigRead(client int, at wire.Version, mark, began, ended int64) {
	s := &c.edits
	value := firstConfig
	if s.byMark[mark] != nil {
		value = editName(mark)
	}
	if other, known := s.marks[at]; known && other != mark {
		c.Fail(ConfigLoserInForce, ended, "a read returned edit %d as version %v, which is edit %d on other nodes", mark, at, other)
	}
	s.marks[at] = mark
	c.otherOperations = append(c.otherOperations, history.Operation{
		Register: "sheet", Client: client, Kind: history.Read, Begin: began, End: ended, Outcome: history.Accepted, Value: value,
	})
}

// ZoneSet records a command that drains or restores a zone, with the code of its answer.
func (c *Checker) ZoneSet(client int, zone string, drained bool, code wire.Code, began, ended clock.Micros) {
	outcome, possible := outcomeOf(code)
	if !possible {
		return
	}
	c.otherOperations = append(c.otherOperations, history.Operation{
		Register: history.Zone(zone), Client: client, Kind: history.Set, ID: zoneState(drained), Begin: began, End: ended, Outcome: outcome,
	})
}

// ZoneRead records a zone's state as read from a replica that held all changes acknowledged before the read.
func (c *Checker) ZoneRead(client int, zone string, drained bool, began, ended clock.Micros) {
	c.otherOperations = append(c.otherOperations, history.Operation{
		Register: history.Zone(zone), Client: client, Kind: history.Read, Begin: began, End: ended, Outcome: history.Accepted, Value: zoneState(drained),
	})
}

func zoneState(drained bool) string {
	if drained {
		return history.Drained
	}
	return history.Restored
}

// firstConfig names the configuration that was in force before the first edit.
const firstConfig = "the first sheet"

func editName(mark int64) string { return fmt.Sprint("edit ", mark) }

// SetInitialVersion sets the version that was in force before the first edit; later calls have no effect.
func (c *Checker) SetInitialVersion(at wire.Version) {
	if c.edits.first.Term == 0 {
		c.edits.first = at
	}
}

// outcomeOf classifies an answer; possible is false if the command certainly never reached a leader.
func outcomeOf(code wire.Code) (outcome history.Outcome, possible bool) {
	switch code {
	case wire.CodeOK:
		return history.Accepted, true
	case wire.CodeLostRace, wire.CodeInvalid, wire.CodeConflict:
		return history.Refused, true
	case wire.CodeOverloaded:
		return history.Unknown, false
	default:
		return history.Unknown, true
	}
}

func versionText(at wire.Version) string {
	if at.Term == 0 {
		return ""
	}
	return fmt.Sprintf("%d.%d", at.Term, at.Seq)
}

// linearizable checks that the history is linearizable.
func (c *Checker) linearizable() {
	h := c.History()
	for range h.Operations {
		c.tested(NotLinearizable)
	}
	for _, err := range h.Check() {
		c.Fail(NotLinearizable, c.lastResponse(), "%v", err)
	}
}

// lastResponse returns the time of the last successful answer.
func (c *Checker) lastResponse() (at clock.Micros) {
	for _, t := range c.edits.byMark {
		if t.Code == wire.CodeOK {
			at = max(at, t.Ended)
		}
	}
	return at
}
