// Tests of the rules on retries, revisions, further backends and read-backs: each on a journal that obeys the rule
// and on one that breaks it.

package rules

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wallport/runtime/clock"
)

// addSecondBackendRuns adds attempts that run on two backends of one service, within the bound of BUDGET on extra
// arrivals in a window.
func addSecondBackendRuns(j *Journal, attempts int) {
	j.Bounds.RetryAllowance = 100
	second := backend("bq2", "q")
	j.Backends = append(j.Backends, second)
	for i := range attempts {
		attempt := j.addRequest("further-"+string(rune('a'+i)), 30*int64(1e6)+int64(i)*1e6, 1)
		attempt.Repeatable = true
		a := j.addArrival(attempt, 1, "", nil)
		a.Backend = second
	}
}

func TestRulesOnRepeats(t *testing.T) {
	for _, c := range []struct {
		rule, name string
		broken     func(j *Journal)
	}{
		{Config, "a change refused after its acknowledgement was lost", func(j *Journal) {
			ver := version(4, 3, 35*second, table(4, "p"))
			ver.Uncontested, ver.FirstAcked, ver.Acked, ver.Refused = false, 35*second+500, Never, 37*second
			j.Versions = append(j.Versions, ver)
		}},
		{Config, "a retry of an acknowledged change refused", func(j *Journal) {
			j.Versions[1].Repeats, j.Versions[1].RefusedAgain = 1, 40*second
		}},
		{Config, "two changes with one revision acknowledged", func(j *Journal) {
			ver := version(3, 2, 21*second, table(3, "q"))
			j.Versions = append(j.Versions, ver)
		}},
		{Config, "two changes with one revision acknowledged, the second answer lost", func(j *Journal) {
			ver := version(3, 2, 21*second, table(3, "q"))
			ver.FirstAcked, ver.Acked = ver.Acked, Never
			j.Versions = append(j.Versions, ver)
		}},
		{Budget, "attempts run although their route allows no backend", func(j *Journal) {
			for _, version := range j.Versions {
				version.Table.Routes[0].MaxBackends = proto.Int32(0)
			}
			for i := range maxOverRouteLimit + 1 {
				j.addRequest(fmt.Sprint("none", i), 10*second, 0)
			}
		}},
		{Budget, "attempts run on more backends than allowed", func(j *Journal) { addSecondBackendRuns(j, maxOverRouteLimit+1) }},
		{Mixed, "a failure with a seal and another status", func(j *Journal) {
			j.Attempts[0].Status, j.Arrivals[0].Status = 502, 500
		}},
		{Drain, "request to a backend that drained while the core was unsettled", func(j *Journal) {
			j.Backends[1].DrainingSince = 22 * second
			j.Faults.Unsettled = Spans{{22 * second, 25 * second}}
		}},
	} {
		t.Run(c.rule+"/"+c.name, func(t *testing.T) {
			j := validJournal()
			c.broken(j)
			j.Check()
			must.Positive(t, j.Broken[c.rule], must.Sprint(j.Findings))
		})
	}
}

func TestAcceptableRepeatsBreakNoRule(t *testing.T) {
	j := validJournal()
	ver := j.Versions[1]
	ver.FirstAcked, ver.Acked, ver.Repeats = ver.Acked, ver.Acked+2*second, 2
	loser := version(3, 1, 20*second, table(3, "p"))
	loser.Uncontested, loser.Acked, loser.Refused = false, Never, 21*second
	j.Versions = append(j.Versions, loser)
	addSecondBackendRuns(j, maxOverRouteLimit)
	j.Check()
	must.Eq(t, nil, j.Findings, must.Sprint("no rule may forbid a retry that is acknowledged again, the refusal of one of two changes with the same revision, or three attempts over the route's limit"))
	must.Positive(t, j.Tested[ConfigRepeat])
	must.Positive(t, j.Tested[ConfigNumber])
	must.Eq(t, maxOverRouteLimit, j.Tested[BudgetAttempt])
}

func TestExcusesOfBackendsAndReadings(t *testing.T) {
	j := validJournal()
	addSecondBackendRuns(j, maxOverRouteLimit+1)
	j.Backends[len(j.Backends)-1].Ended = 30 * second
	j.Check()
	must.Eq(t, nil, j.Findings, must.Sprint("a backend that ended before the attempt did must not count"))

	j = validJournal()
	j.Versions = append(j.Versions, version(9, 3, 58*second+900*clock.Millisecond, table(9, "q")))
	j.ReadBack[0].RequestedAt = 58 * second
	j.Check()
	must.Eq(t, nil, j.Findings, must.Sprint("a read need not return a version that was acknowledged after the read was requested"))

	j = validJournal()
	j.Backends[0].DrainingSince = 6 * second
	j.Arrivals[0].DelayedByPartition = true
	j.Check()
	must.Eq(t, nil, j.Findings, must.Sprint("DRAIN must not apply to a request that a network partition delayed"))
}
