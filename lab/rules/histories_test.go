// Tests of the rule on histories, with one injected fault at a time.

package rules

import (
	"testing"

	"github.com/shoenig/test/must"
)

// journalWithReadings returns a valid journal with a zone that was drained and restored, and confirmed readings.
func journalWithReadings() *Journal {
	j := validJournal()
	j.Evacuations = []*Evacuation{{Zone: "z1", Sent: 40 * second, Acked: 41 * second, RestoreSent: 50 * second, RestoreAcked: 51 * second}}
	j.Confirmed = []ConfirmedReading{
		{Sent: 10 * second, At: 11 * second, Table: table(1, "p")},
		{Sent: 42 * second, At: 43 * second, Table: table(3, "q"), Drained: []string{"z1"}},
		{Sent: 52 * second, At: 53 * second, Table: table(3, "q")},
	}
	return j
}

func TestJournalHistoriesPass(t *testing.T) {
	j := journalWithReadings()
	j.Check()
	must.Zero(t, j.Broken[History], must.Sprint(j.Findings))
	must.Positive(t, j.Tested[History])
}

func TestJournalHistoriesWithPlantedFaultsFail(t *testing.T) {
	for name, inject := range map[string]func(j *Journal){
		"two changes on one base acknowledged": func(j *Journal) { j.Versions = append(j.Versions, version(5, 1, 21*second, table(5, "p"))) },
		"a stale read":                         func(j *Journal) { j.Confirmed[1].Table = table(1, "p") },
		"a lost acknowledged write":            func(j *Journal) { j.Confirmed[2].Table = table(1, "p") },
		"a read of a version never sent":       func(j *Journal) { j.Confirmed[2].Table = table(3, "p") },
		"an acknowledged drain lost":           func(j *Journal) { j.Confirmed[1].Drained = nil },
		"a restored zone drained again":        func(j *Journal) { j.Confirmed[2].Drained = []string{"z1"} },
		"a zone drained without a call":        func(j *Journal) { j.Confirmed[0].Drained = []string{"z9"} },
		"a retry of an acknowledged change refused": func(j *Journal) {
			j.Versions[1].Acked, j.Versions[1].Refused = Never, 25*second
		},
	} {
		t.Run(name, func(t *testing.T) {
			j := journalWithReadings()
			inject(j)
			j.Check()
			must.Positive(t, j.Broken[History], must.Sprint(j.Findings))
		})
	}
}

// A drain call that the operator abandoned may have taken effect. After an acknowledged call that restores the zone,
// it must not take effect any more.
func TestAbandonedZoneCalls(t *testing.T) {
	abandoned := &ZoneCall{Zone: "z2", Drains: true, Sent: 30 * second, Acked: Never}
	restore := &ZoneCall{Zone: "z2", Sent: 44 * second, Acked: 45 * second}
	for _, c := range []struct {
		name   string
		calls  []*ZoneCall
		reads  []int
		broken bool
	}{
		{"drain took effect", []*ZoneCall{abandoned}, []int{1, 2}, false},
		{"no drain sent", nil, []int{1, 2}, true},
		{"drain took effect, then restored", []*ZoneCall{abandoned, restore}, []int{1}, false},
		{"drain took effect before it was sent", []*ZoneCall{abandoned}, []int{0, 1, 2}, true},
		{"restored after an acknowledged drain, still drained", []*ZoneCall{{Zone: "z2", Drains: true, Sent: 30 * second, Acked: 31 * second}, restore}, []int{1, 2}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := journalWithReadings()
			j.ZoneCalls = c.calls
			for _, i := range c.reads {
				j.Confirmed[i].Drained = append(j.Confirmed[i].Drained, "z2")
			}
			j.Check()
			must.Eq(t, c.broken, j.Broken[History] > 0, must.Sprint(j.Findings))
		})
	}
}
