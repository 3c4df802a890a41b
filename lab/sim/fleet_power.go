// Power loss at a given step of a given write, so that a sweep can cover every step of every write. "set
// power_write K" selects the K-th write of all disks after "power_from_us", and "set power_step" the step.

package sim

import (
	"fmt"
	"maps"

	"wallport/lab/script"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

// PowerSteps are the steps of a write at which the power can be cut: written to a temporary file, synced, renamed,
// acknowledged.
var PowerSteps = []string{"aside", "synced", "renamed", "answered"}

// powerOffAtStep counts a write that starts and, if it is the selected one, cuts the power at the selected step. It
// reports whether it cut the power. For the step "answered", powerOffAfterAck cuts the power later.
func (d *disk) powerOffAtStep(w kernel.Write) bool {
	sim := d.process.sim
	if sim.Script.Set["power_write"] == "" || sim.now < sim.Script.Int("power_from_us", 0) || w.Data == nil {
		return false
	}
	sim.diskWrites++
	sim.Checker.Count("writes_seen", 1)
	if int64(sim.diskWrites) != sim.Script.Int("power_write", 0) {
		return false
	}
	switch sim.Script.Text("power_step", "") {
	case "aside", "synced":
		// The data is in a temporary file, synced or not; the file itself is unchanged.
		d.powerOff()
	case "renamed":
		// The temporary file is renamed and synced, but the write is not acknowledged.
		d.files[w.File] = w.Data
		d.powerOff()
	case "answered":
		d.powerOffAfter = w.File
		return false
	}
	return true
}

// powerOffAfterAck cuts the power right after the selected write has been acknowledged, if its step is "answered".
func (d *disk) powerOffAfterAck(w kernel.Write) {
	if d.powerOffAfter != "" && d.powerOffAfter == w.File {
		d.powerOffAfter = ""
		d.powerOff()
	}
}

func (d *disk) powerOff() {
	sim := d.process.sim
	sim.Checker.Count("power_cuts", 1)
	sim.logEvent(d.process.name + " loses power")
	sim.killed[d.process.name] = true
	p := d.process
	sim.at(sim.now, func() {
		d.queue, d.busy = nil, false
		p.kill()
	})
	sim.after(1500*clock.Millisecond, func() { sim.applyProcessVerb("restart", p) })
}

// PowerLossScripts runs a scenario once to count its writes, and returns copies of it, one for each step of each write.
func PowerLossScripts(s *script.Script, seed uint64) []*script.Script {
	with := func(n int64, step string) *script.Script {
		c := *s
		c.Set = maps.Clone(s.Set)
		c.Set["power_write"], c.Set["power_step"] = fmt.Sprint(n), step
		c.Name = fmt.Sprintf("%s, power lost at write %d, %s", s.Name, n, step)
		return &c
	}
	sim := New(with(0, ""), seed)
	sim.Run()
	var out []*script.Script
	for n := int64(1); n <= sim.Checker.Value("writes_seen"); n++ {
		for _, step := range PowerSteps {
			out = append(out, with(n, step))
		}
	}
	return out
}
