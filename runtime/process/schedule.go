// The loop's order: inputs as they come, and timers when they are due. Every input begins with
// one reading of the clocks, by which a freeze is noticed before anything else is done.

package process

import (
	"container/heap"
	"time"

	"go.uber.org/zap"

	"wallport/runtime/kernel"
)

func (p *Process) run() {
	defer p.loopDone.Done()
	p.step(p.readClocks(), kernel.Start{})
	wait := time.NewTimer(0)
	defer wait.Stop()
	for {
		// The timer is set only where nothing waits: a burst of inputs costs one setting.
		select {
		case in := <-p.inbox:
			p.handle(in)
			continue
		case <-p.stopping:
			return
		default:
		}
		wait.Reset(p.untilTimer())
		select {
		case in := <-p.inbox:
			p.handle(in)
		case <-wait.C:
			p.fireTimers(p.noticeFreeze())
		case <-p.stopping:
			return
		}
	}
}

// untilTimer is how long it is until the next timer is due.
func (p *Process) untilTimer() time.Duration {
	if len(p.timers) == 0 {
		return time.Hour
	}
	return max(0, time.Duration(p.timers[0].At-p.Now())*time.Microsecond)
}

// handle carries one input out, and the timers that are due: inputs do not hold them up.
func (p *Process) handle(in kernel.Input) {
	at := p.noticeFreeze()
	if f, ok := in.(inLoop); ok {
		f.run(at.now)
	} else {
		p.step(at, in)
	}
	p.fireTimers(at)
}

// fireTimers carries out the timers that are due.
func (p *Process) fireTimers(at clocks) {
	for len(p.timers) > 0 && p.timers[0].At <= at.now {
		t := heap.Pop(&p.timers).(kernel.Timer)
		p.step(at, t.Tick)
	}
}

// clocks is one reading of the process's monotonic clock and of the wall's, in microseconds.
type clocks struct{ now, wall int64 }

func (p *Process) readClocks() clocks {
	t := time.Now()
	return clocks{now: t.Sub(p.startedAt).Microseconds(), wall: t.UnixMicro()}
}

// noticeFreeze reads the clocks and notices that the process did not run for a while, before anything else is done.
func (p *Process) noticeFreeze() clocks {
	at := p.readClocks()
	if gap := at.now - p.lastRun.Load(); gap > FreezeGap {
		p.thaws.Add(1)
		p.Kernel.Counts.Add("thaws", 1)
		p.Log.Warn("thawed", zap.Int64("gap_us", gap))
		p.lastRun.Store(at.now)
		p.step(at, kernel.Thawed{Gap: gap})
	}
	p.lastRun.Store(at.now)
	return at
}

type timerHeap []kernel.Timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].At < h[j].At }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(kernel.Timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
