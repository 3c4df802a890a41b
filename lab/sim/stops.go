// The planned stop of a simulated process, and what comes after it.

package sim

import (
	"wallport/control/replica"
	"wallport/runtime/kernel"
)

// stop is the planned stop: nothing new, what was read is finished, then the end.
func (p *proc) stop() {
	if !p.runs() {
		return
	}
	p.drains = true
	p.w.note(p.name + " drains")
	p.step(kernel.Stopping{})
	p.stopBy = p.w.now + replica.LeaveWithin
	p.later(1_000_000, p.tryEnd)
}

func (p *proc) tryEnd() {
	leaving := p.seats != nil && !p.seats.HasLeft() && p.w.now < p.stopBy
	if leaving || p.front != nil && len(p.front.runs) > 0 {
		p.later(20_000, p.tryEnd)
		return
	}
	p.kill()
	if p.again {
		p.again = false
		p.start()
	}
}
