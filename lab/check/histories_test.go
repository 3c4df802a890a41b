// The sheet's history, with one planted fault at a time.
package check

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/wire"
)

func at(seq uint64) wire.Stamp { return wire.Stamp{Term: 1, Seq: seq} }

// edits is a judge that was told of some edits.
func edits(all ...Try) *Judge {
	j := New()
	for _, t := range all {
		j.Retried(t)
	}
	return j
}

func TestSheetHistoriesInOrderPass(t *testing.T) {
	j := edits(
		Try{Mark: 1, Stamp: at(2), Began: 1, Ended: 2, Code: "ok"},
		Try{Mark: 2, Base: at(2), Stamp: at(5), Began: 3, Ended: 6, Code: "ok"},
		Try{Mark: 3, Base: at(2), Began: 3, Ended: 7, Code: "lost_race"},
		Try{Mark: 4, Base: at(5), Began: 8, Ended: 9, Code: "unknown"},
		Try{Mark: 5, Base: at(2), Began: 3, Ended: 4, Code: "shed"},
	)
	j.InForce("n", at(9), 4, 10, -1)
	j.Retried(Try{Mark: 6, Base: at(9), Stamp: at(12), Began: 11, Ended: 12, Code: "ok"})
	j.Chain()
	must.SliceEmpty(t, j.Violations)
}

func TestSheetHistoriesWithAPlantedFaultAreFound(t *testing.T) {
	for name, all := range map[string][]Try{
		"two on one base": {{Mark: 1, Stamp: at(2), Began: 1, Ended: 4, Code: "ok"}, {Mark: 2, Stamp: at(3), Began: 1, Ended: 4, Code: "ok"}},
		"a lost write": {
			{Mark: 1, Stamp: at(2), Began: 1, Ended: 2, Code: "ok"}, {Mark: 2, Base: at(2), Stamp: at(3), Began: 3, Ended: 4, Code: "ok"},
			{Mark: 3, Base: at(2), Stamp: at(5), Began: 5, Ended: 6, Code: "ok"},
		},
		"a proper order refused": {{Mark: 1, Stamp: at(2), Began: 1, Ended: 2, Code: "ok"}, {Mark: 2, Base: at(2), Began: 3, Ended: 4, Code: "lost_race"}},
		"an invalid one taken":   {{Mark: 1, Stamp: at(2), Began: 1, Ended: 2, Code: "ok", Invalid: true}},
	} {
		t.Run(name, func(t *testing.T) {
			j := edits(all...)
			j.linearizable()
			must.Positive(t, len(j.Violations))
			must.Eq(t, NotLinearizable, j.Violations[len(j.Violations)-1].Point)
		})
	}
}
