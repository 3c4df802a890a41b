package process

import (
	"container/heap"
	"time"

	"go.uber.org/zap"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

// run is the loop: it handles inputs in the order of their arrival, and timers when they are due.
func (p *Process) run() {
	defer p.loopDone.Done()
	p.step(p.readClocks(), kernel.Start{})
	wait := time.NewTimer(0)
	defer wait.Stop()
	for {
		// The timer is set only when the inbox is empty, so a burst of inputs sets it only once.
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
			p.fireTimers(p.detectFreeze())
		case <-p.stopping:
			return
		}
	}
}

// untilTimer returns the time until the next timer is due.
func (p *Process) untilTimer() time.Duration {
	if len(p.timers) == 0 {
		return time.Hour
	}
	return max(0, clock.Duration(p.timers[0].At-p.Now()))
}

// handle handles one input and then the timers that are due, so that a full inbox does not delay timers.
func (p *Process) handle(in kernel.Input) {
	at := p.detectFreeze()
	if f, ok := in.(inLoop); ok {
		f.run(at.now)
	} else {
		p.step(at, in)
	}
	p.fireTimers(at)
}

// fireTimers handles the timers that are due.
func (p *Process) fireTimers(at clocks) {
	for len(p.timers) > 0 && p.timers[0].At <= at.now {
		timer := heap.Pop(&p.timers).(kernel.Timer)
		p.step(at, timer.Tick)
	}
}

// step steps the kernel and carries out the output of the step.
func (p *Process) step(at clocks, in kernel.Input) {
	out := p.Kernel.Step(at.now, at.wall, in)
	for _, event := range out.LogEvents {
		p.logEvent(event)
	}
	for _, timer := range out.Timers {
		heap.Push(&p.timers, timer)
	}
	for _, write := range out.Writes {
		p.disk.enqueue(p, write)
	}
	for _, addr := range out.Dials {
		p.transport.dialMesh(addr)
	}
	for _, send := range out.Sends {
		p.transport.send(send)
	}
	for _, conn := range out.Drops {
		p.transport.drop(conn)
	}
	for _, fetch := range out.Fetches {
		p.fetch(fetch)
	}
	for _, reply := range out.Replies {
		p.reply(reply)
	}
}

// clocks is one reading of the process's monotonic clock and of the wall clock.
type clocks struct{ now, wall clock.Micros }

func (p *Process) readClocks() clocks {
	t := time.Now()
	return clocks{now: t.Sub(p.startedAt).Microseconds(), wall: t.UnixMicro()}
}

// detectFreeze reads the clocks. If the loop has not run for more than FreezeGap, it notifies the kernel
// before any other input is handled.
func (p *Process) detectFreeze() clocks {
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

// timerHeap is a heap of timers, ordered by the time at which they are due.
type timerHeap []kernel.Timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].At < h[j].At }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(kernel.Timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
