// Tests of the histories of the configuration and of zones, with one injected fault at a time.

package check

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/wire"
)

func at(seq uint64) wire.Version { return wire.Version{Term: 1, Seq: seq} }

// edits returns a checker that has recorded the given edits.
func edits(all ...Edit) *Checker {
	c := New()
	for _, t := range all {
		c.EditEnded(t)
	}
	return c
}

func TestConfigHistoriesPass(t *testing.T) {
	c := edits(
		Edit{Mark: 1, Version: at(2), Began: 1, Ended: 2, Code: "ok"},
		Edit{Mark: 2, Base: at(2), Version: at(5), Began: 3, Ended: 6, Code: "ok"},
		Edit{Mark: 3, Base: at(2), Began: 3, Ended: 7, Code: "lost_race"},
		Edit{Mark: 4, Base: at(5), Began: 8, Ended: 9, Code: "unknown"},
		Edit{Mark: 5, Base: at(2), Began: 3, Ended: 4, Code: "shed"},
	)
	c.InForce("n", at(9), 4, 10, -1)
	c.EditEnded(Edit{Mark: 6, Base: at(9), Version: at(12), Began: 11, Ended: 12, Code: "ok"})
	c.CheckChain()
	must.SliceEmpty(t, c.Violations)
}

func TestConfigHistoriesWithPlantedFaultsFail(t *testing.T) {
	for name, all := range map[string][]Edit{
		"two on one base": {{Mark: 1, Version: at(2), Began: 1, Ended: 4, Code: "ok"}, {Mark: 2, Version: at(3), Began: 1, Ended: 4, Code: "ok"}},
		"a lost write": {
			{Mark: 1, Version: at(2), Began: 1, Ended: 2, Code: "ok"}, {Mark: 2, Base: at(2), Version: at(3), Began: 3, Ended: 4, Code: "ok"},
			{Mark: 3, Base: at(2), Version: at(5), Began: 5, Ended: 6, Code: "ok"},
		},
		"a valid edit refused":     {{Mark: 1, Version: at(2), Began: 1, Ended: 2, Code: "ok"}, {Mark: 2, Base: at(2), Began: 3, Ended: 4, Code: "lost_race"}},
		"an invalid edit accepted": {{Mark: 1, Version: at(2), Began: 1, Ended: 2, Code: "ok", Invalid: true}},
	} {
		t.Run(name, func(t *testing.T) {
			c := edits(all...)
			c.linearizable()
			must.Positive(t, len(c.Violations))
			must.Eq(t, NotLinearizable, c.Violations[len(c.Violations)-1].Point)
		})
	}
}

func TestReadAndZoneHistoriesPass(t *testing.T) {
	c := edits(Edit{Mark: 1, Version: at(2), Began: 1, Ended: 4, Code: "ok"}, Edit{Mark: 2, Base: at(2), Began: 5, Ended: 6, Code: "unknown"})
	c.ConfigRead(9, at(2), 1, 3, 5)
	c.ConfigRead(9, at(5), 2, 7, 8)
	c.ZoneSet(1, "z1", true, "ok", 1, 3)
	c.ZoneSet(2, "z1", false, "unknown", 2, 5)
	c.ZoneSet(3, "z1", false, "shed", 2, 5)
	c.ZoneRead(4, "z1", true, 4, 5)
	c.ZoneRead(4, "z1", false, 6, 7)
	c.linearizable()
	must.SliceEmpty(t, c.Violations)
}

func TestReadAndZoneHistoriesWithPlantedFaultsFail(t *testing.T) {
	for name, inject := range map[string]func(c *Checker){
		"a stale configuration is read": func(c *Checker) { c.ConfigRead(9, at(2), 1, 7, 8) },
		"reads that go back":            func(c *Checker) { c.ConfigRead(9, at(5), 2, 4, 5); c.ConfigRead(8, at(2), 1, 6, 7) },
		"an acknowledged drain lost": func(c *Checker) {
			c.ZoneSet(1, "z1", true, "ok", 1, 3)
			c.ZoneRead(4, "z1", false, 4, 5)
		},
		"a drain takes effect after a restore was acknowledged": func(c *Checker) {
			c.ZoneSet(1, "z1", true, "ok", 1, 2)
			c.ZoneSet(1, "z1", false, "ok", 3, 4)
			c.ZoneRead(4, "z1", true, 5, 6)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := edits(Edit{Mark: 1, Version: at(2), Began: 1, Ended: 2, Code: "ok"}, Edit{Mark: 2, Base: at(2), Version: at(5), Began: 3, Ended: 6, Code: "ok"})
			inject(c)
			c.linearizable()
			must.Positive(t, len(c.Violations))
			must.Eq(t, NotLinearizable, c.Violations[len(c.Violations)-1].Point)
		})
	}
}

func TestReadsWithoutEditsStartFromFirstConfig(t *testing.T) {
	c := New()
	c.SetInitialVersion(at(2))
	c.ConfigRead(9, at(2), 3_000_000, 3, 5)
	c.linearizable()
	must.SliceEmpty(t, c.Violations)
}
