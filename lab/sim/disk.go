// A simulated disk: writes take their time, in order; a power loss keeps only
// what was synced, and may leave a write in flight torn, undone or whole.

package sim

import (
	"wallport/runtime/kernel"
)

type disk struct {
	p      *proc
	files  map[string][]byte
	jobs   []kernel.Write
	busy   bool
	mode   string
	slow   int64
	fsyncs int64
	// base is what a sync takes at least; 0 stands for the stand-ins' own.
	base int64
	// cutAfter is the file after whose answer the power goes.
	cutAfter string
}

func newDisk(p *proc) *disk { return &disk{p: p, files: map[string][]byte{}} }

func (d *disk) load() map[string][]byte {
	d.jobs, d.busy = nil, false
	out := map[string][]byte{}
	for k, v := range d.files {
		out[k] = v
	}
	return out
}

func (d *disk) enlist(w kernel.Write) {
	d.jobs = append(d.jobs, w)
	d.next()
}

func (d *disk) next() {
	if d.busy || len(d.jobs) == 0 || d.mode == "stalled" {
		return
	}
	d.busy = true
	if d.step(d.jobs[0]) {
		return
	}
	took := 800 + d.p.w.rnd.Int64N(3000) + d.slow
	if d.base > 0 {
		took = d.base + d.p.w.rnd.Int64N(d.base/2) + d.slow
	}
	life := d.p.life
	d.p.w.after(took, func() {
		if d.p.life != life {
			return
		}
		d.done()
	})
}

// done ends the write at the head, unless the disk stalled meanwhile.
func (d *disk) done() {
	if d.mode == "stalled" {
		life := d.p.life
		d.p.w.after(20_000, func() {
			if d.p.life == life {
				d.done()
			}
		})
		return
	}
	w := d.jobs[0]
	d.jobs = d.jobs[1:]
	d.busy = false
	res := kernel.Written{Plugin: w.Plugin, Key: w.Key}
	switch {
	case w.Data == nil:
		delete(d.files, w.File)
	case d.mode == "full":
		res.Err = "no space left on device"
	default:
		d.fsyncs += 2
		d.p.w.Judge.Count("fsyncs", 2)
		d.files[w.File] = w.Data
	}
	if w.Key != "" {
		d.p.feed(func() { d.p.step(res) })
	}
	d.answered(w)
	d.next()
}

// powerLoss is the end of the process with the power: writes not yet synced
// are dropped, their renames undone, or leave a torn file.
func (d *disk) powerLoss() {
	if d.busy && len(d.jobs) > 0 && d.jobs[0].Data != nil {
		w := d.jobs[0]
		switch d.p.w.rnd.IntN(3) {
		case 0:
			if _, old := d.files[w.File]; !old {
				d.files[w.File] = w.Data[:d.p.w.rnd.IntN(len(w.Data))]
				d.p.w.Judge.Count("torn_files", 1)
			}
		case 1:
			d.files[w.File] = w.Data
		}
	}
	d.jobs, d.busy = nil, false
}

func (d *disk) lose() { d.files = map[string][]byte{} }
