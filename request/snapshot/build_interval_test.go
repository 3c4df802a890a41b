package snapshot

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/cluster/mesh"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
)

func TestBurstOfChangesBuildsFewSnapshots(t *testing.T) {
	k := kernel.New(kernel.Boot{Settings: settings.Settings{Name: "a", Mesh: "10.0.0.1:1"}, Role: "node", Seed: 1, Key: kernel.KeyFrom(make([]byte, 32))})
	builder, now, due, built := kernel.Find[*Builder](k), int64(5_000_000), int64(0), 0
	k.Step(now, now, kernel.Start{})
	k.Step(now, now, kernel.Tick{Plugin: pluginName, Key: timerBuild})
	for range 1000 {
		now += 1_000
		step := &kernel.Context{Now: now, Counts: k.Counts}
		builder.Step(step, mesh.Stored{Entry: reportEntry("x", "s", "ok", false).Entry, Origin: "x"})
		for _, timer := range step.Output.Timers {
			must.Eq(t, 0, due, must.Sprint("at most one build is scheduled"))
			due = timer.At
			must.LessEq(t, BuildInterval, due-now)
		}
		if due > 0 && now >= due {
			due, built = 0, built+1
			builder.Step(&kernel.Context{Now: now, Counts: k.Counts}, kernel.Tick{Plugin: pluginName, Key: timerBuild})
		}
	}
	must.Between(t, 8, built, 11, must.Sprint("snapshots built during one second of changes"))
	now += 2 * BuildInterval
	step := &kernel.Context{Now: now, Counts: k.Counts}
	builder.Step(step, mesh.Stored{Entry: reportEntry("x", "s", "ok", false).Entry, Origin: "x"})
	if due == 0 {
		must.Eq(t, now+BuildDelay, step.Output.Timers[0].At, must.Sprint("after a pause the build waits only BuildDelay"))
	}
}
