// Tests with linearizable histories, which must pass, and histories with one injected fault each, which must fail.

package history

import (
	"errors"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func change(id, base string, begin, end int64, outcome Outcome) Operation {
	return Operation{Register: Configuration, Kind: Change, ID: id, Base: base, Begin: begin, End: end, Outcome: outcome}
}

func changeWithVersion(id, version, base string, begin, end int64, outcome Outcome) Operation {
	return Operation{Register: Configuration, Kind: Change, ID: id, Version: version, Base: base, Begin: begin, End: end, Outcome: outcome}
}

func read(value string, begin, end int64) Operation {
	return Operation{Register: Configuration, Kind: Read, Value: value, Begin: begin, End: end, Outcome: Accepted}
}

func setZone(zone, to string, begin, end int64, outcome Outcome) Operation {
	return Operation{Register: Zone(zone), Kind: Set, ID: to, Begin: begin, End: end, Outcome: outcome}
}

func readZone(zone, value string, begin, end int64) Operation {
	return Operation{Register: Zone(zone), Kind: Read, Value: value, Begin: begin, End: end, Outcome: Accepted}
}

func historyOf(operations ...Operation) *History {
	h := &History{}
	for _, op := range operations {
		h.Add(op)
	}
	return h
}

func TestSoundHistoriesPass(t *testing.T) {
	for name, h := range map[string]*History{
		"one after another":                                  historyOf(change("a", "", 1, 2, Accepted), read("a", 3, 4), change("b", "a", 5, 6, Accepted), read("b", 7, 8)),
		"one of two changes on one base refused":             historyOf(change("a", "", 1, 5, Accepted), change("b", "", 1, 5, Refused), read("a", 6, 7)),
		"a read concurrent with a change sees the old value": historyOf(change("a", "", 1, 9, Accepted), read("", 2, 3)),
		"a read concurrent with a change sees the new value": historyOf(change("a", "", 1, 9, Accepted), read("a", 2, 3)),
		"an unknown change that took effect":                 historyOf(change("a", "", 1, 2, Unknown), read("a", 3, 4), change("b", "a", 5, 6, Accepted)),
		"an unknown change that had no effect":               historyOf(change("a", "", 1, 2, Unknown), read("", 3, 4), change("b", "", 5, 6, Accepted)),
		"an unknown change that took effect late":            historyOf(change("a", "", 1, 2, Unknown), read("", 3, 4), read("a", 5, 6)),
		"a retry of an accepted change":                      historyOf(change("a", "", 1, 2, Accepted), change("b", "a", 3, 4, Accepted), change("a", "", 5, 6, Accepted), read("b", 7, 8)),
		"a change refused, then accepted on its base":        historyOf(change("b", "a", 1, 2, Refused), change("a", "", 3, 4, Accepted), change("b", "a", 5, 6, Accepted)),
		"invalid on the current version":                     historyOf(Operation{Register: Configuration, Kind: Change, ID: "x", Invalid: true, Begin: 1, End: 2, Outcome: Refused}, read("", 3, 4)),
		"a zone drained and restored":                        historyOf(setZone("z", Drained, 1, 2, Accepted), readZone("z", Drained, 3, 4), setZone("z", Restored, 5, 6, Accepted), readZone("z", Restored, 7, 8)),
		"registers are checked separately":                   historyOf(change("a", "", 1, 2, Accepted), setZone("z", Drained, 1, 2, Accepted), readZone("y", Restored, 3, 4), read("a", 3, 4)),
		"two changes with one version":                       historyOf(changeWithVersion("a", "1", "", 1, 5, Accepted), changeWithVersion("b", "1", "", 1, 5, Refused), changeWithVersion("c", "2", "1", 6, 7, Accepted)),
		"a read without an answer":                           historyOf(Operation{Register: Configuration, Kind: Read, Begin: 1, Outcome: Unknown}),
	} {
		t.Run(name, func(t *testing.T) { must.SliceEmpty(t, h.Check()) })
	}
}

func TestPlantedFaultsFail(t *testing.T) {
	for name, h := range map[string]*History{
		"two changes on one base both acknowledged":      historyOf(change("a", "", 1, 5, Accepted), change("b", "", 1, 5, Accepted)),
		"two changes with one version both acknowledged": historyOf(changeWithVersion("a", "1", "", 1, 5, Accepted), changeWithVersion("b", "1", "", 1, 5, Accepted)),
		"a stale read":                                  historyOf(change("a", "", 1, 2, Accepted), change("b", "a", 3, 4, Accepted), read("a", 5, 6)),
		"reads that go back":                            historyOf(change("a", "", 1, 9, Accepted), read("a", 2, 3), read("", 4, 5)),
		"a lost acknowledged write":                     historyOf(change("a", "", 1, 2, Accepted), read("", 3, 4)),
		"a lost acknowledged write, by a later base":    historyOf(change("a", "", 1, 2, Accepted), change("b", "", 3, 4, Accepted)),
		"a retry of an acknowledged change refused":     historyOf(change("a", "", 1, 2, Accepted), change("b", "a", 3, 4, Accepted), change("a", "", 5, 6, Refused)),
		"a retry refused though its change took effect": historyOf(change("a", "", 1, 2, Unknown), read("a", 3, 4), change("a", "", 5, 6, Refused)),
		"a refused change that took effect":             historyOf(change("a", "", 1, 2, Accepted), change("b", "", 1, 2, Refused), read("b", 3, 4)),
		"a valid change refused":                        historyOf(change("a", "", 1, 2, Refused), read("", 3, 4)),
		"an invalid change acknowledged":                historyOf(Operation{Register: Configuration, Kind: Change, ID: "x", Invalid: true, Begin: 1, End: 2, Outcome: Accepted}),
		"a retry that is applied again":                 historyOf(change("a", "", 1, 2, Accepted), change("b", "a", 3, 4, Accepted), change("a", "", 5, 6, Accepted), read("a", 7, 8)),
		"a late drain after an acknowledged restore":    historyOf(setZone("z", Drained, 1, 2, Accepted), setZone("z", Restored, 3, 4, Accepted), readZone("z", Drained, 5, 6)),
		"a lost drain":                                  historyOf(setZone("z", Drained, 1, 2, Accepted), readZone("z", Restored, 3, 4)),
	} {
		t.Run(name, func(t *testing.T) {
			errs := h.Check()
			must.Len(t, 1, errs)
			var found *NotLinearizable
			must.True(t, errors.As(errs[0], &found), must.Sprint(errs[0]))
		})
	}
}

func TestUndecidedSearchIsReported(t *testing.T) {
	h := historyOf(change("a", "", 1, 2, Accepted), read("a", 3, 4))
	var undecided *Undecided
	must.True(t, errors.As(checkRegister(Configuration, h.Operations, 1), &undecided))
	must.Eq(t, 1, undecided.Steps)
}

// The history of a day has several hundred changes. In this one, every change has a concurrent rival on the same
// base, and every tenth answer is lost; the search must still reach a decision within its bound on steps.
func TestLongHistoryIsDecided(t *testing.T) {
	h := &History{}
	last := ""
	for i := range int64(600) {
		at := i * 10
		id := fmt.Sprintf("order-%d", i)
		outcome := Accepted
		if i%10 == 9 {
			outcome = Unknown
		}
		h.Add(change(id, last, at, at+5, outcome))
		h.Add(change(id+"-rival", last, at, at+6, Refused))
		h.Add(read(id, at+7, at+8))
		last = id
	}
	must.SliceEmpty(t, h.Check())
	h.Add(read("order-3", 7_000, 7_001))
	must.Len(t, 1, h.Check())
}
