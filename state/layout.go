// Package state says how the control state is cut into parts, and judges the
// edits that a part's owner batches into its next version. Judging is a pure
// function of the body, the edit and the corrected clock.
package state

import (
	"hash/fnv"
	"slices"

	"wallport/wire"
)

// Parts is the number of parts: part 0 holds the configuration, the others the indexes.
const Parts = 5

// Config is the part of the configuration.
const Config = 0

// PartOf is the part that holds an index or another named service.
func PartOf(name string) int {
	h := fnv.New32a()
	h.Write([]byte(name))
	return 1 + int(h.Sum32()%(Parts-1))
}

// Judge decides one edit: the body after it, the reply, and whether it took.
type Judge func(body []byte, cur, next wire.Stamp, e *wire.Edit, wall int64) (after []byte, r wire.EditReply, took bool)

// Clockwork changes a body because time passed or duties moved.
type Clockwork func(body []byte, next wire.Stamp, wall int64, holders map[string]string) (after []byte, due bool)

// JudgeOf gives the judge of a part.
func JudgeOf(part int) Judge {
	if part == Config {
		return judgeConfig
	}
	return judgeIndex
}

// ClockworkOf gives the clockwork of a part.
func ClockworkOf(part int) Clockwork {
	if part == Config {
		return configClock
	}
	return indexClock
}

const recentMost = 256

func editSum(e *wire.Edit) uint64 {
	h := fnv.New64a()
	for _, s := range []string{e.Op, e.Name} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(e.Body)
	return h.Sum64()
}

// repeated answers an edit id that was taken before.
func repeated(recent []wire.Done, e *wire.Edit) (wire.EditReply, bool) {
	if e.EditID == "" {
		return wire.EditReply{}, false
	}
	for _, d := range recent {
		if d.EditID != e.EditID {
			continue
		}
		if d.Sum != editSum(e) {
			return wire.EditReply{Code: "conflict", Findings: []wire.Finding{{Place: "Edit-Id", Text: "was used for another edit"}}}, true
		}
		return wire.EditReply{Code: "ok", Stamp: d.Stamp}, true
	}
	return wire.EditReply{}, false
}

func remember(recent []wire.Done, e *wire.Edit, at wire.Stamp) []wire.Done {
	if e.EditID == "" {
		return recent
	}
	recent = append(slices.Clone(recent), wire.Done{EditID: e.EditID, Sum: editSum(e), Stamp: at})
	if len(recent) > recentMost {
		recent = recent[len(recent)-recentMost:]
	}
	return recent
}

func invalid(place, text string) wire.EditReply {
	return wire.EditReply{Code: "invalid", Findings: []wire.Finding{{Place: place, Text: text}}}
}
