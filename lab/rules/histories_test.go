// The rule on histories, with one planted fault at a time.
package rules

import (
	"testing"

	"github.com/shoenig/test/must"
)

// read is a calm day with a zone that was drained and restored, and confirmed readings.
func read() *Journal {
	j := calm()
	j.Orders = []*Order{{Zone: "z1", Sent: 40 * second, Acked: 41 * second, Back: 50 * second, BackAcked: 51 * second}}
	j.Confirmed = []ConfirmedReading{
		{Sent: 10 * second, At: 11 * second, Table: table(1, "p")},
		{Sent: 42 * second, At: 43 * second, Table: table(3, "q"), Drained: []string{"z1"}},
		{Sent: 52 * second, At: 53 * second, Table: table(3, "q")},
	}
	return j
}

func TestHistoriesInOrderPass(t *testing.T) {
	j := read()
	j.Judge()
	must.Zero(t, j.Broken[History], must.Sprint(j.Findings))
	must.Positive(t, j.Tested[History])
}

func TestHistoriesWithAPlantedFaultAreFound(t *testing.T) {
	for name, plant := range map[string]func(j *Journal){
		"two orders on one base acknowledged":  func(j *Journal) { j.Versions = append(j.Versions, version(5, 1, 21*second, table(5, "p"))) },
		"a stale read":                         func(j *Journal) { j.Confirmed[1].Table = table(1, "p") },
		"a lost acknowledged write":            func(j *Journal) { j.Confirmed[2].Table = table(1, "p") },
		"a read of what nobody sent":           func(j *Journal) { j.Confirmed[2].Table = table(3, "p") },
		"a drain that was forgotten":           func(j *Journal) { j.Confirmed[1].Drained = nil },
		"a drain that came back":               func(j *Journal) { j.Confirmed[2].Drained = []string{"z1"} },
		"a zone drained that nobody asked for": func(j *Journal) { j.Confirmed[0].Drained = []string{"z9"} },
		"an acknowledged repeat refused": func(j *Journal) {
			j.Versions[1].Acked, j.Versions[1].Refused = Never, 25*second
		},
	} {
		t.Run(name, func(t *testing.T) {
			j := read()
			plant(j)
			j.Judge()
			must.Positive(t, j.Broken[History], must.Sprint(j.Findings))
		})
	}
}
