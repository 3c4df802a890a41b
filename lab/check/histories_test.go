// The sheet's history, with one planted fault at a time.

package check

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/wire"
)

func at(seq uint64) wire.Version { return wire.Version{Term: 1, Seq: seq} }

// edits is a judge that was told of some edits.
func edits(all ...Edit) *Checker {
	j := New()
	for _, t := range all {
		j.EditEnded(t)
	}
	return j
}

func TestConfigHistoriesPass(t *testing.T) {
	j := edits(
		Edit{Mark: 1, Version: at(2), Began: 1, Ended: 2, Code: "ok"},
		Edit{Mark: 2, Base: at(2), Version: at(5), Began: 3, Ended: 6, Code: "ok"},
		Edit{Mark: 3, Base: at(2), Began: 3, Ended: 7, Code: "lost_race"},
		Edit{Mark: 4, Base: at(5), Began: 8, Ended: 9, Code: "unknown"},
		Edit{Mark: 5, Base: at(2), Began: 3, Ended: 4, Code: "shed"},
	)
	j.InForce("n", at(9), 4, 10, -1)
	j.EditEnded(Edit{Mark: 6, Base: at(9), Version: at(12), Began: 11, Ended: 12, Code: "ok"})
	j.Chain()
	must.SliceEmpty(t, j.Violations)
}

func TestConfigHistoriesWithPlantedFaultsFail(t *testing.T) {
	for name, all := range map[string][]Edit{
		"two on one base": {{Mark: 1, Version: at(2), Began: 1, Ended: 4, Code: "ok"}, {Mark: 2, Version: at(3), Began: 1, Ended: 4, Code: "ok"}},
		"a lost write": {
			{Mark: 1, Version: at(2), Began: 1, Ended: 2, Code: "ok"}, {Mark: 2, Base: at(2), Version: at(3), Began: 3, Ended: 4, Code: "ok"},
			{Mark: 3, Base: at(2), Version: at(5), Began: 5, Ended: 6, Code: "ok"},
		},
		"a proper order refused": {{Mark: 1, Version: at(2), Began: 1, Ended: 2, Code: "ok"}, {Mark: 2, Base: at(2), Began: 3, Ended: 4, Code: "lost_race"}},
		"an invalid one taken":   {{Mark: 1, Version: at(2), Began: 1, Ended: 2, Code: "ok", Invalid: true}},
	} {
		t.Run(name, func(t *testing.T) {
			j := edits(all...)
			j.linearizable()
			must.Positive(t, len(j.Violations))
			must.Eq(t, NotLinearizable, j.Violations[len(j.Violations)-1].Point)
		})
	}
}

func TestReadAndZoneHistoriesPass(t *testing.T) {
	j := edits(Edit{Mark: 1, Version: at(2), Began: 1, Ended: 4, Code: "ok"}, Edit{Mark: 2, Base: at(2), Began: 5, Ended: 6, Code: "unknown"})
	j.ConfigRead(9, at(2), 1, 3, 5)
	j.ConfigRead(9, at(5), 2, 7, 8)
	j.ZoneSet(1, "z1", true, "ok", 1, 3)
	j.ZoneSet(2, "z1", false, "unknown", 2, 5)
	j.ZoneSet(3, "z1", false, "shed", 2, 5)
	j.ZoneRead(4, "z1", true, 4, 5)
	j.ZoneRead(4, "z1", false, 6, 7)
	j.linearizable()
	must.SliceEmpty(t, j.Violations)
}

func TestReadAndZoneHistoriesWithPlantedFaultsFail(t *testing.T) {
	for name, plant := range map[string]func(j *Checker){
		"an old sheet is read":     func(j *Checker) { j.ConfigRead(9, at(2), 1, 7, 8) },
		"a later one, then before": func(j *Checker) { j.ConfigRead(9, at(5), 2, 4, 5); j.ConfigRead(8, at(2), 1, 6, 7) },
		"an acknowledged drain is gone": func(j *Checker) {
			j.ZoneSet(1, "z1", true, "ok", 1, 3)
			j.ZoneRead(4, "z1", false, 4, 5)
		},
		"an order acts after a later one was acknowledged": func(j *Checker) {
			j.ZoneSet(1, "z1", true, "ok", 1, 2)
			j.ZoneSet(1, "z1", false, "ok", 3, 4)
			j.ZoneRead(4, "z1", true, 5, 6)
		},
	} {
		t.Run(name, func(t *testing.T) {
			j := edits(Edit{Mark: 1, Version: at(2), Began: 1, Ended: 2, Code: "ok"}, Edit{Mark: 2, Base: at(2), Version: at(5), Began: 3, Ended: 6, Code: "ok"})
			plant(j)
			j.linearizable()
			must.Positive(t, len(j.Violations))
			must.Eq(t, NotLinearizable, j.Violations[len(j.Violations)-1].Point)
		})
	}
}

func TestReadsWithoutEditsStartFromFirstConfig(t *testing.T) {
	j := New()
	j.BeganWith(at(2))
	j.ConfigRead(9, at(2), 3_000_000, 3, 5)
	j.linearizable()
	must.SliceEmpty(t, j.Violations)
}
