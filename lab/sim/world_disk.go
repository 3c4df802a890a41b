// A simulated disk: writes take time and complete in order; a power loss keeps only what was synced, and may
// leave a write in flight torn, undone or complete.

package sim

import (
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

// diskMode is how a disk behaves; scenarios name the modes by their text.
type diskMode string

// Modes of disks: writes succeed, hang, or fail for lack of space.
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
	// syncTime is the least duration of a sync; 0 selects the default distribution.
	syncTime clock.Micros
	// powerOffAfter is the file whose next completed write is followed by a power loss.
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
	started := d.process.incarnation
	d.process.sim.after(duration, func() {
		if d.process.incarnation != started {
			return
		}
		d.complete()
	})
}

// complete ends the write at the head, unless the disk stalled meanwhile.
func (d *disk) complete() {
	if d.mode == diskStalled {
		started := d.process.incarnation
		d.process.sim.after(20*clock.Millisecond, func() {
			if d.process.incarnation == started {
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

// powerLoss ends the process with the power: writes that were not synced are dropped, undone, or leave a torn
// file.
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

// write enqueues a write at the disk; without a disk it fails.
func (p *process) write(wr kernel.Write) {
	if p.disk != nil {
		p.disk.enqueue(wr)
		return
	}
	if wr.Key != "" {
		p.deliverAfter(0, func() { p.step(kernel.Written{Plugin: wr.Plugin, Key: wr.Key, Err: "no disk"}) })
	}
}
