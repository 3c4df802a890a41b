package loadreport

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/cluster/mesh"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// node is a node whose reporter is tested.
type node struct {
	kernel   *kernel.Kernel
	reporter *Reporter
	now      clock.Micros
}

func newNode() *node {
	boot := kernel.Boot{Settings: settings.Settings{Name: "a", Mesh: "10.0.0.1:1"}, Role: "node", Seed: 1, Key: kernel.KeyFrom(make([]byte, 32))}
	n := &node{kernel: kernel.New(boot), now: 5 * clock.Second}
	n.reporter = kernel.Find[*Reporter](n.kernel)
	n.kernel.Step(n.now, n.now, kernel.Start{})
	return n
}

// advanceSecond counts requests and advances the time by one second, after which the rates are
// evaluated.
func (n *node) advanceSecond(requests int) {
	for range requests {
		n.reporter.Meter("i", "k").Inc()
	}
	n.now += reportInterval
	n.kernel.Step(n.now, n.now, kernel.Tick{Plugin: pluginName, Key: timerReport})
}

// reported returns the Count field of the mesh entry that holds this node's last report, and the
// reported rate.
func (n *node) reported(t *testing.T) (count uint64, rate int64) {
	t.Helper()
	kernel.Find[*mesh.Mesh](n.kernel).Each(mesh.EntryLoadReport, func(entry *wire.Entry, _ string) {
		var report wire.LoadReport
		must.NoError(t, wire.Decode(entry.Body, &report))
		count, rate = entry.Count, report.Rates["i\x00k"]
	})
	return count, rate
}

func TestRateIsReportedWhenItHasChangedEnough(t *testing.T) {
	n := newNode()
	n.advanceSecond(100)
	first, rate := n.reported(t)
	must.Eq(t, 100*reportScale, rate, must.Sprint("a jump must become the rate without smoothing"))
	n.advanceSecond(130)
	count, _ := n.reported(t)
	must.Eq(t, first, count, must.Sprint("a change of 15 in 100 must not be reported"))
	n.advanceSecond(150)
	count, rate = n.reported(t)
	must.Greater(t, first, count)
	must.Eq(t, 132.5*reportScale, float64(rate))
}

func TestRateNearALimitIsReportedMoreExactly(t *testing.T) {
	n := newNode()
	n.advanceSecond(100)
	first, _ := n.reported(t)
	n.reporter.Meter("i", "k").SetLimits(0, 120)
	n.advanceSecond(116)
	count, rate := n.reported(t)
	must.Greater(t, first, count, must.Sprint("a change of 8 in 100 must be reported near a limit"))
	must.Eq(t, 108*reportScale, rate)
}

func TestLocalLimit(t *testing.T) {
	for _, c := range []struct {
		name          string
		local, remote int64
		want          float64
	}{
		{"no rate is known: an equal part", 0, 0, 25},
		{"all of the fleet's rate, and half of the unused limit", 60, 0, 100 + 20},
		{"a quarter of the fleet's rate, which is at the limit", 25, 75, 25},
		{"a quarter of the fleet's rate, which exceeds the limit", 50, 150, 25},
	} {
		t.Run(c.name, func(t *testing.T) {
			meter := &Meter{}
			meter.localRate.Store(c.local * reportScale)
			meter.remoteRate.Store(c.remote * reportScale)
			must.Eq(t, c.want, meter.LocalLimit(100, 4))
		})
	}
}
