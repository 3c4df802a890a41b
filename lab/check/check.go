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
	Twice              = "ran_twice"
	RanRefused         = "ran_after_refusal"
	NotComplete        = "answer_not_whole_or_foreign"
	BadMerge           = "bad_merge"
	DrainingWork       = "work_to_leaving"
	ConfigLate         = "sheet_late"
	ConfigWentBack     = "sheet_older"
	ConfigLoserInForce = "losing_sheet_in_force"
	RetryDiffers       = "retry_answered_differently"
	BothWon            = "both_edits_accepted"
	DrainedZoneWork    = "work_to_emptied_zone"
	Budget             = "extra_tries_over_budget"
	SlowStartExceeded  = "cold_rush"
	ProperRejected     = "proper_inquiry_refused"
	ReadAborted        = "read_inquiry_cut"
	BookedWrong        = "booking_out_of_window"
	SlowBack           = "slow_recovery"
)

// Times that the brief allows, in microseconds.
const (
	DrainingWithin  = 3_000_000
	ConfigWithin    = 3_000_000
	ZoneDrainWithin = 5_000_000
	IsolatedWithin  = 6_000_000
	RecoverWithin   = 12_000_000
)

// Violation is one thing that happened although it must not.
type Violation struct {
	Point string `json:"point"`
	At    int64  `json:"at_us"`
	Text  string `json:"text"`
}

// Checker collects violations and how often each point was tested.
type Checker struct {
	Violations []Violation
	Tested     map[string]int64
	Counts     map[string]int64
	// CommandsPossible is since when operators' calls can be carried out at all.
	CommandsPossible int64
	// ClocksAgree is since when a majority of the disk machines also agrees on the time.
	ClocksAgree int64

	ran           map[string]int
	refused       map[string]int64
	drainingSince map[string]int64
	zoneDrainedAt map[string]int64
	edits         editLog
	// otherOperations are the operations of histories that are not edits of the sheet.
	otherOperations []history.Operation
	firsts          map[string]map[int64]int64
	extras          map[string]map[int64]int64
	slowStarts      map[string]*slowStartCount
	okSecond        map[int64]int64
	admitted        map[string]*admissions
	limits          []Limits
	moves           []int64
}

// New makes a judge.
func New() *Checker {
	return &Checker{
		Tested: map[string]int64{}, Counts: map[string]int64{}, ran: map[string]int{}, refused: map[string]int64{},
		drainingSince: map[string]int64{}, zoneDrainedAt: map[string]int64{}, edits: newEditLog(),
		firsts: map[string]map[int64]int64{}, extras: map[string]map[int64]int64{}, slowStarts: map[string]*slowStartCount{}, okSecond: map[int64]int64{}, admitted: map[string]*admissions{},
	}
}

const violationsMost = 50

// Fail notes a violation.
func (j *Checker) Fail(point string, at int64, text string, args ...any) {
	j.Counts["violations."+point]++
	if len(j.Violations) < violationsMost {
		j.Violations = append(j.Violations, Violation{point, at, fmt.Sprintf(text, args...)})
	}
}

func (j *Checker) tested(point string) { j.Tested[point]++ }

// Count adds to a named count.
func (j *Checker) Count(name string, n int64) { j.Counts[name] += n }

// Value is a count, a number of tests ("tested.POINT") or of violations ("violations.POINT").
func (j *Checker) Value(name string) int64 {
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
func (j *Checker) Lines() []string {
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
func (j *Checker) Ran(key string, at int64) {
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
func (j *Checker) RanTimes(key string, n int) {
	for range n {
		j.Ran(key, 0)
	}
}

// Refused notes that a caller was told that its inquiry did not run and will not.
func (j *Checker) Refused(key string, at int64) {
	j.tested(RanRefused)
	j.refused[key] = at
	if j.ran[key] > 0 {
		j.Fail(RanRefused, at, "%s was refused although it ran", key)
	}
}

// BackendDrains notes when the platform's list first shows that a server leaves.
func (j *Checker) BackendDrains(server string, at int64) {
	if _, ok := j.drainingSince[server]; !ok {
		j.drainingSince[server] = at
	}
}

// ZoneDrained notes when an operator asked for a zone to be emptied; negative ends it.
func (j *Checker) ZoneDrained(zone string, at int64) {
	if at < 0 {
		delete(j.zoneDrainedAt, zone)
		return
	}
	if _, asked := j.zoneDrainedAt[zone]; !asked {
		// An operator who asks again has waited since the first time.
		j.zoneDrainedAt[zone] = at
	}
}

// IsZoneDrained reports whether a zone is asked to be empty.
func (j *Checker) IsZoneDrained(zone string) bool { _, ok := j.zoneDrainedAt[zone]; return ok }

// RequestFromIsolated notes work sent by a node that has been alone for a while and reads the
// platform's list for itself: it has as long again to notice that it is alone.
func (j *Checker) RequestFromIsolated(server string, at, alone int64) {
	if t, ok := j.drainingSince[server]; ok && alone > IsolatedWithin {
		j.tested(DrainingWork)
		j.Counts["tested_alone"]++
		if at-t > DrainingWithin {
			j.Fail(DrainingWork, at, "%s got work from a node that is alone, %d us after it was shown leaving", server, at-t)
		}
	}
}

// Request notes one piece of work sent to a server.
func (j *Checker) Request(pool, server, zone string, at int64, again, instead bool) {
	if t, ok := j.drainingSince[server]; ok {
		j.tested(DrainingWork)
		if at-t > DrainingWithin {
			j.Fail(DrainingWork, at, "%s got work %d us after it was shown leaving", server, at-t)
		}
	}
	if t, ok := j.zoneDrainedAt[zone]; ok {
		j.tested(DrainedZoneWork)
		if at-max(t, j.CommandsPossible) > ZoneDrainWithin {
			j.Fail(DrainedZoneWork, at, "%s in %s got work %d us after the zone was emptied", server, zone, at-t)
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
func (j *Checker) Idle(point string) { j.tested(point) }
