// Tests that the spans of planned work are correct and that LOST is checked for requests during planned work.

package rules

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestConfigurationCountsAsPlannedWorkUntilDueEverywhere(t *testing.T) {
	j := validJournal()
	refused := version(4, 3, 40*second, nil)
	refused.Acked, refused.Refused = Never, 41*second
	unanswered := version(5, 3, 50*second, nil)
	unanswered.Acked = Never
	j.Versions = append(j.Versions, refused, unanswered)
	planned := j.planned()
	must.True(t, planned.Overlaps(20*second, 20*second))
	must.True(t, planned.Overlaps(24*second, 24*second))
	must.False(t, planned.Overlaps(24*second+1001, 24*second+1001))
	must.False(t, planned.Overlaps(40*second, 45*second), must.Sprint("a refused version must not count as planned work: it is in force on no node"))
	must.True(t, planned.Overlaps(59*second, 59*second), must.Sprint("a version without a final answer must count as planned work: it may be in force"))
}

func TestRequestAbortedDuringPlannedWorkIsLost(t *testing.T) {
	j := validJournal()
	j.Check()
	must.Zero(t, j.Tested[LostPlanned])
	j.Faults.Planned = Spans{{30 * second, 31 * second}}
	j.Check()
	must.Positive(t, j.Tested[LostPlanned])
	must.Zero(t, j.Broken[Lost])
	aborted := j.Attempts[1]
	aborted.Status, aborted.Seal, aborted.Aborted = 0, "", true
	j.Check()
	must.Eq(t, 1, j.Broken[Lost])
}
