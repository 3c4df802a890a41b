// The clock of a simulated cluster, and its events in order of time.

package replica

import (
	"container/heap"

	"wallport/runtime/clock"
)

// event is an action at a time; events at the same time keep the order in which they were added.
type event struct {
	at  clock.Micros
	seq int64
	do  func()
}

// eventQueue is a heap of events.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event at the end, for heap.Push.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event, for heap.Pop.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// add adds an event.
func (q *eventQueue) add(e event) { heap.Push(q, e) }

// next removes and returns the earliest event.
func (q *eventQueue) next() event { return heap.Pop(q).(event) }

// timeline is the simulated time of a cluster; each kind of cluster embeds one.
type timeline struct {
	now     clock.Micros
	nextSeq int64
	events  eventQueue
}

// after schedules do to run after the duration d has passed.
func (l *timeline) after(d clock.Micros, do func()) {
	l.nextSeq++
	l.events.add(event{l.now + max(d, 0), l.nextSeq, do})
}

// advance runs the next event and returns true. If that event is later than end, advance sets the time to end and
// returns false.
func (l *timeline) advance(end clock.Micros) bool {
	if len(l.events) == 0 || l.events[0].at > end {
		l.now = end
		return false
	}
	e := l.events.next()
	l.now = e.at
	e.do()
	return true
}
