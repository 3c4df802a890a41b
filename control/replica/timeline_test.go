// The time of a simulated cluster, and its events in the order of their moments.

package replica

import (
	"container/heap"

	"wallport/runtime/clock"
)

// event is something that happens at a moment; events of one moment keep their order.
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

// Pop takes the last event, for heap.Pop.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// add adds an event.
func (q *eventQueue) add(e event) { heap.Push(q, e) }

// next takes the first event.
func (q *eventQueue) next() event { return heap.Pop(q).(event) }

// timeline is the time of a simulated cluster; each of them embeds one.
type timeline struct {
	now     clock.Micros
	nextSeq int64
	events  eventQueue
}

// after schedules do.
func (l *timeline) after(d clock.Micros, do func()) {
	l.nextSeq++
	l.events.add(event{l.now + max(d, 0), l.nextSeq, do})
}

// advance carries out the next event and returns true; where that is after the end, it advances to the end and
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
