package check

import (
	"fmt"
	"sort"

	"wallport/lab/history"
	"wallport/runtime/clock"
)

// Names of the rules, each for an event that must never happen, in the order of the brief.
const (
	Twice                = "ran_twice"
	RanRefused           = "ran_after_refusal"
	NotComplete          = "answer_not_whole_or_foreign"
	BadMerge             = "bad_merge"
	DrainingWork         = "work_to_leaving"
	ConfigLate           = "sheet_late"
	ConfigWentBack       = "sheet_older"
	ConfigLoserInForce   = "losing_sheet_in_force"
	RetryDiffers         = "retry_answered_differently"
	BothAccepted         = "both_edits_accepted"
	DrainedZoneWork      = "work_to_emptied_zone"
	Budget               = "extra_tries_over_budget"
	SlowStartExceeded    = "cold_rush"
	ProperRejected       = "proper_inquiry_refused"
	ReadAborted          = "read_inquiry_cut"
	BookingOutsideWindow = "booking_out_of_window"
	SlowRecovery         = "slow_recovery"
)

// Time bounds that the brief sets for these rules.
const (
	DrainingWithin  = 3 * clock.Second
	ConfigWithin    = 3 * clock.Second
	ZoneDrainWithin = 5 * clock.Second
	IsolatedWithin  = 6 * clock.Second
	RecoverWithin   = 12 * clock.Second
)

// Violation is one observed event that must never happen.
type Violation struct {
	Point string       `json:"point"`
	At    clock.Micros `json:"at_us"`
	Text  string       `json:"text"`
}

// Checker collects violations and counts how often each rule was checked.
type Checker struct {
	Violations []Violation
	Tested     map[string]int64
	Counts     map[string]int64
	// CommandsPossible is the time since which operators' calls can be carried out.
	CommandsPossible clock.Micros
	// ClocksAgree is the time since which, in addition, the clocks of a majority of the cores agree.
	ClocksAgree clock.Micros

	ran           map[string]int
	refused       map[string]int64
	drainingSince map[string]int64
	zoneDrainedAt map[string]int64
	edits         editLog
	// otherOperations holds the recorded operations other than edits: reads of the configuration, and operations on
	// zones.
	otherOperations   []history.Operation
	firstAttempts     map[string]map[int64]int64
	extraAttempts     map[string]map[int64]int64
	slowStarts        map[string]*slowStartCount
	servedPerSecond   map[int64]int64
	admitted          map[string]*admissions
	limits            []Limits
	membershipChanges []int64
}

// New returns an empty checker.
func New() *Checker {
	return &Checker{
		Tested: map[string]int64{}, Counts: map[string]int64{}, ran: map[string]int{}, refused: map[string]int64{},
		drainingSince: map[string]int64{}, zoneDrainedAt: map[string]int64{}, edits: newEditLog(),
		firstAttempts: map[string]map[int64]int64{}, extraAttempts: map[string]map[int64]int64{}, slowStarts: map[string]*slowStartCount{}, servedPerSecond: map[int64]int64{}, admitted: map[string]*admissions{},
	}
}

const maxViolations = 50

// Fail counts a violation and records it, up to maxViolations.
func (c *Checker) Fail(point string, at clock.Micros, text string, args ...any) {
	c.Counts["violations."+point]++
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, Violation{point, at, fmt.Sprintf(text, args...)})
	}
}

func (c *Checker) tested(point string) { c.Tested[point]++ }

// Count adds to a named count.
func (c *Checker) Count(name string, n int64) { c.Counts[name] += n }

// Value returns a count by name: a count that Count added to, the number of checks of a rule ("tested.RULE"), the
// number of violations of a rule ("violations.RULE") or the number of recorded violations ("violations").
func (c *Checker) Value(name string) int64 {
	if n, ok := c.Tested[trim(name, "tested.")]; ok && len(name) > 7 && name[:7] == "tested." {
		return n
	}
	if name == "violations" {
		return int64(len(c.Violations))
	}
	return c.Counts[name]
}

func trim(s, prefix string) string {
	if len(s) > len(prefix) && s[:len(prefix)] == prefix {
		return s[len(prefix):]
	}
	return s
}

// Lines returns every count, sorted, for printing and for comparing two runs.
func (c *Checker) Lines() []string {
	var out []string
	for k, n := range c.Counts {
		out = append(out, fmt.Sprintf("%s=%d", k, n))
	}
	for k, n := range c.Tested {
		out = append(out, fmt.Sprintf("tested.%s=%d", k, n))
	}
	sort.Strings(out)
	return out
}

// Ran records that a correction or part fetch ran on a server.
func (c *Checker) Ran(key string, at clock.Micros) {
	c.tested(Twice)
	c.ran[key]++
	if n := c.ran[key]; n > 1 {
		c.Fail(Twice, at, "%s ran %d times", key, n)
	}
	if when, ok := c.refused[key]; ok {
		c.Fail(RanRefused, at, "%s ran although it was refused at %d us", key, when)
	}
}

// RanTimes records n executions, as reported by a run of real processes.
func (c *Checker) RanTimes(key string, n int) {
	for range n {
		c.Ran(key, 0)
	}
}

// Refused records a response which guarantees that the request did not run and never will.
func (c *Checker) Refused(key string, at clock.Micros) {
	c.tested(RanRefused)
	c.refused[key] = at
	if c.ran[key] > 0 {
		c.Fail(RanRefused, at, "%s was refused although it ran", key)
	}
}

// BackendDrains records the time at which the platform's list first shows a server as leaving.
func (c *Checker) BackendDrains(server string, at clock.Micros) {
	if _, ok := c.drainingSince[server]; !ok {
		c.drainingSince[server] = at
	}
}

// ZoneDrained records the time at which an operator requested to drain a zone; a negative time ends the drain.
func (c *Checker) ZoneDrained(zone string, at clock.Micros) {
	if at < 0 {
		delete(c.zoneDrainedAt, zone)
		return
	}
	if _, asked := c.zoneDrainedAt[zone]; !asked {
		// The bound runs from the first request; retries do not restart it.
		c.zoneDrainedAt[zone] = at
	}
}

// IsZoneDrained reports whether an operator has requested to drain a zone.
func (c *Checker) IsZoneDrained(zone string) bool { _, ok := c.zoneDrainedAt[zone]; return ok }

// RequestFromIsolated records a request from an isolated node. Such a node has IsolatedWithin to notice that it is
// isolated, and then reads the platform's list itself. From then on it must not use a server later than
// DrainingWithin after the list first showed the server as leaving.
func (c *Checker) RequestFromIsolated(server string, at, isolatedFor int64) {
	if t, ok := c.drainingSince[server]; ok && isolatedFor > IsolatedWithin {
		c.tested(DrainingWork)
		c.Counts["tested_alone"]++
		if at-t > DrainingWithin {
			c.Fail(DrainingWork, at, "%s got a request from an isolated node %d us after the platform listed it as leaving", server, at-t)
		}
	}
}

// Request records one request sent to a server. If extra is true, the request is an extra attempt, which counts
// against the retry budget. A replacement counts neither as a first nor as an extra attempt.
func (c *Checker) Request(pool, server, zone string, at clock.Micros, extra, replacement bool) {
	if t, ok := c.drainingSince[server]; ok {
		c.tested(DrainingWork)
		if at-t > DrainingWithin {
			c.Fail(DrainingWork, at, "%s got a request %d us after the platform listed it as leaving", server, at-t)
		}
	}
	if t, ok := c.zoneDrainedAt[zone]; ok {
		c.tested(DrainedZoneWork)
		if at-max(t, c.CommandsPossible) > ZoneDrainWithin {
			c.Fail(DrainedZoneWork, at, "%s in %s got a request %d us after an operator requested to drain the zone", server, zone, at-t)
		}
	}
	if replacement {
		return
	}
	m := c.firstAttempts
	if extra {
		m = c.extraAttempts
	}
	if m[pool] == nil {
		m[pool] = map[int64]int64{}
	}
	m[pool][at/clock.Second]++
}

// Idle counts a check of a rule: a draining server or zone was observed to be idle.
func (c *Checker) Idle(point string) { c.tested(point) }
