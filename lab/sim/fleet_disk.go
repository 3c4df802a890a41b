// A simulated disk: writes take time and complete in order. After a power loss only synced data is left; the
// write in flight may be torn, not applied or complete.

package sim

import (
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

// diskMode is how a disk behaves. Scenarios use the text as the name of the mode.
type diskMode string

// Modes of disks: writes succeed, do not complete, or fail for lack of space.
const (
	diskOK      diskMode = ""
	diskStalled diskMode = "stalled"
	diskFull    diskMode = "full"
)

type disk struct {
	process    *process
	files      map[string][]byte
	queue      []kernel.Write
	busy       bool
	mode       diskMode
	extraDelay clock.Micros
	fsyncs     int64
	// syncTime is the shortest duration of a write and its sync; a write takes up to one and a half times as long.
	// 0 selects the default distribution, 0.8 to 3.8 ms.
	syncTime clock.Micros
	// powerOffAfter is the file after whose next completed write the power is cut; empty for none.
	powerOffAfter string
}

func newDisk(p *process) *disk { return &disk{process: p, files: map[string][]byte{}} }

func (d *disk) load() map[string][]byte {
	d.queue, d.busy = nil, false
	out := map[string][]byte{}
	for k, v := range d.files {
		out[k] = v
	}
	return out
}

func (d *disk) enqueue(w kernel.Write) {
	d.queue = append(d.queue, w)
	d.startNext()
}

func (d *disk) startNext() {
	if d.busy || len(d.queue) == 0 || d.mode == diskStalled {
		return
	}
	d.busy = true
	if d.powerOffAtStep(d.queue[0]) {
		return
	}
	duration := 800 + d.process.sim.rng.Int64N(3000) + d.extraDelay
	if d.syncTime > 0 {
		duration = d.syncTime + d.process.sim.rng.Int64N(d.syncTime/2) + d.extraDelay
	}
	incarnation := d.process.incarnation
	d.process.sim.after(duration, func() {
		if d.process.incarnation != incarnation {
			return
		}
		d.complete()
	})
}

// complete ends the first write of the queue. If the disk has stalled since the write began, it checks again every
// 20 ms.
func (d *disk) complete() {
	if d.mode == diskStalled {
		incarnation := d.process.incarnation
		d.process.sim.after(20*clock.Millisecond, func() {
			if d.process.incarnation == incarnation {
				d.complete()
			}
		})
		return
	}
	w := d.queue[0]
	d.queue = d.queue[1:]
	d.busy = false
	res := kernel.Written{Plugin: w.Plugin, Key: w.Key}
	switch {
	case w.Data == nil:
		delete(d.files, w.File)
	case d.mode == diskFull:
		res.Err = "no space left on device"
	default:
		d.fsyncs += 2
		d.process.sim.Checker.Count("fsyncs", 2)
		d.files[w.File] = w.Data
	}
	if w.Key != "" {
		d.process.deliver(func() { d.process.step(res) })
	}
	d.powerOffAfterAck(w)
	d.startNext()
}

// powerLoss applies a power loss to the disk. Queued writes are dropped; the write in flight is dropped, complete,
// or leaves a torn file if the file did not exist before.
func (d *disk) powerLoss() {
	if d.busy && len(d.queue) > 0 && d.queue[0].Data != nil {
		w := d.queue[0]
		switch d.process.sim.rng.IntN(3) {
		case 0:
			if _, old := d.files[w.File]; !old {
				d.files[w.File] = w.Data[:d.process.sim.rng.IntN(len(w.Data))]
				d.process.sim.Checker.Count("torn_files", 1)
			}
		case 1:
			d.files[w.File] = w.Data
		}
	}
	d.queue, d.busy = nil, false
}

func (d *disk) wipe() { d.files = map[string][]byte{} }

// write enqueues a write on the process's disk; if the process has no disk, the write fails.
func (p *process) write(wr kernel.Write) {
	if p.disk != nil {
		p.disk.enqueue(wr)
		return
	}
	if wr.Key != "" {
		p.deliverAfter(0, func() { p.step(kernel.Written{Plugin: wr.Plugin, Key: wr.Key, Err: "no disk"}) })
	}
}
