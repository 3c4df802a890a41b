// Package check holds the invariants: the twelve things that must never
// happen, judged from what was seen from outside. The simulator and the real
// fleet feed the same judges. Each counts how often it was put to the test, so
// that a run which provoked nothing cannot pass for a proof.
package check

import (
	"fmt"
	"sort"

	"wallport/lab/history"
)

// Points name what must never happen, in the order of the brief.
const (
	Twice        = "ran_twice"
	RanRefused   = "ran_after_refusal"
	NotWhole     = "answer_not_whole_or_foreign"
	BadMerge     = "bad_merge"
	LeavingWork  = "work_to_leaving"
	SheetLate    = "sheet_late"
	SheetBack    = "sheet_older"
	SheetLoser   = "losing_sheet_in_force"
	RetryDiffers = "retry_answered_differently"
	BothWon      = "both_edits_accepted"
	EmptiedWork  = "work_to_emptied_zone"
	Budget       = "extra_tries_over_budget"
	ColdRush     = "cold_rush"
	ProperShed   = "proper_inquiry_refused"
	CutRead      = "read_inquiry_cut"
	BookedWrong  = "booking_out_of_window"
	SlowBack     = "slow_recovery"
)

// Times that the brief allows, in microseconds.
const (
	LeavingIn = 3_000_000
	SheetIn   = 3_000_000
	EmptyIn   = 5_000_000
	AloneIn   = 6_000_000
	RecoverIn = 12_000_000
)

// Violation is one thing that happened although it must not.
type Violation struct {
	Point string `json:"point"`
	At    int64  `json:"at_us"`
	Text  string `json:"text"`
}

// Judge collects violations and how often each point was tested.
type Judge struct {
	Violations []Violation
	Tested     map[string]int64
	Counts     map[string]int64
	// Able is since when operators' calls can be carried out at all.
	Able int64
	// Timely is since when a majority of the disk machines also agrees on the time.
	Timely int64

	ran     map[string]int
	refused map[string]int64
	left    map[string]int64
	emptied map[string]int64
	sheets  sheets
	// others are the operations of histories that are not edits of the sheet.
	others   []history.Operation
	firsts   map[string]map[int64]int64
	extras   map[string]map[int64]int64
	cold     map[string]*coldCount
	okSecond map[int64]int64
	let      map[string]*counted
	limits   []Limits
	moves    []int64
}

// New makes a judge.
func New() *Judge {
	return &Judge{
		Tested: map[string]int64{}, Counts: map[string]int64{}, ran: map[string]int{}, refused: map[string]int64{},
		left: map[string]int64{}, emptied: map[string]int64{}, sheets: newSheets(),
		firsts: map[string]map[int64]int64{}, extras: map[string]map[int64]int64{}, cold: map[string]*coldCount{}, okSecond: map[int64]int64{}, let: map[string]*counted{},
	}
}

const violationsMost = 50

// Fail notes a violation.
func (j *Judge) Fail(point string, at int64, text string, args ...any) {
	j.Counts["violations."+point]++
	if len(j.Violations) < violationsMost {
		j.Violations = append(j.Violations, Violation{point, at, fmt.Sprintf(text, args...)})
	}
}

func (j *Judge) tested(point string) { j.Tested[point]++ }

// Count adds to a named count.
func (j *Judge) Count(name string, n int64) { j.Counts[name] += n }

// Value is a count, a number of tests ("tested.POINT") or of violations ("violations.POINT").
func (j *Judge) Value(name string) int64 {
	if n, ok := j.Tested[trim(name, "tested.")]; ok && len(name) > 7 && name[:7] == "tested." {
		return n
	}
	if name == "violations" {
		return int64(len(j.Violations))
	}
	return j.Counts[name]
}

func trim(s, prefix string) string {
	if len(s) > len(prefix) && s[:len(prefix)] == prefix {
		return s[len(prefix):]
	}
	return s
}

// Lines tells every count in order, for printing and for comparing two runs.
func (j *Judge) Lines() []string {
	var out []string
	for k, n := range j.Counts {
		out = append(out, fmt.Sprintf("%s=%d", k, n))
	}
	for k, n := range j.Tested {
		out = append(out, fmt.Sprintf("tested.%s=%d", k, n))
	}
	sort.Strings(out)
	return out
}

// Ran notes that a correction or part fetch ran at a server.
func (j *Judge) Ran(key string, at int64) {
	j.tested(Twice)
	j.ran[key]++
	if n := j.ran[key]; n > 1 {
		j.Fail(Twice, at, "%s ran %d times", key, n)
	}
	if when, ok := j.refused[key]; ok {
		j.Fail(RanRefused, at, "%s ran although refused at %d", key, when)
	}
}

// RanTimes feeds a whole count at once, from a real run.
func (j *Judge) RanTimes(key string, n int) {
	for range n {
		j.Ran(key, 0)
	}
}

// Refused notes that a caller was told that its inquiry did not run and will not.
func (j *Judge) Refused(key string, at int64) {
	j.tested(RanRefused)
	j.refused[key] = at
	if j.ran[key] > 0 {
		j.Fail(RanRefused, at, "%s was refused although it ran", key)
	}
}

// Leaves notes when the platform's list first shows that a server leaves.
func (j *Judge) Leaves(server string, at int64) {
	if _, ok := j.left[server]; !ok {
		j.left[server] = at
	}
}

// Empties notes when an operator asked for a zone to be emptied; negative ends it.
func (j *Judge) Empties(zone string, at int64) {
	if at < 0 {
		delete(j.emptied, zone)
		return
	}
	if _, asked := j.emptied[zone]; !asked {
		// An operator who asks again has waited since the first time.
		j.emptied[zone] = at
	}
}

// IsEmptied reports whether a zone is asked to be empty.
func (j *Judge) IsEmptied(zone string) bool { _, ok := j.emptied[zone]; return ok }

// AskedAlone notes work sent by a node that has been alone for a while and reads the
// platform's list for itself: it has as long again to notice that it is alone.
func (j *Judge) AskedAlone(server string, at, alone int64) {
	if t, ok := j.left[server]; ok && alone > AloneIn {
		j.tested(LeavingWork)
		j.Counts["tested_alone"]++
		if at-t > LeavingIn {
			j.Fail(LeavingWork, at, "%s got work from a node that is alone, %d us after it was shown leaving", server, at-t)
		}
	}
}

// Asked notes one piece of work sent to a server.
func (j *Judge) Asked(pool, server, zone string, at int64, again, instead bool) {
	if t, ok := j.left[server]; ok {
		j.tested(LeavingWork)
		if at-t > LeavingIn {
			j.Fail(LeavingWork, at, "%s got work %d us after it was shown leaving", server, at-t)
		}
	}
	if t, ok := j.emptied[zone]; ok {
		j.tested(EmptiedWork)
		if at-max(t, j.Able) > EmptyIn {
			j.Fail(EmptiedWork, at, "%s in %s got work %d us after the zone was emptied", server, zone, at-t)
		}
	}
	if instead {
		return
	}
	m := j.firsts
	if again {
		m = j.extras
	}
	if m[pool] == nil {
		m[pool] = map[int64]int64{}
	}
	m[pool][at/1_000_000]++
}

// Idle tells that a leaving server or an emptied zone was watched to be idle.
func (j *Judge) Idle(point string) { j.tested(point) }
