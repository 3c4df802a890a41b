// The events of a simulated cluster, in the order of their moments.
package replica

import "container/heap"

// event is something that happens at a moment; events of one moment keep their order.
type event struct {
	at, order int64
	do        func()
}

// eventQueue is a heap of events.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
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

// add puts an event in its place.
func (q *eventQueue) add(e event) { heap.Push(q, e) }

// next takes the first event.
func (q *eventQueue) next() event { return heap.Pop(q).(event) }
