// Which actions a state allows. A source is a replica's disk, whose first pending write may be synced, or the
// queue between two replicas, whose first message may be delivered. Either any source may be next, which gives
// all interleavings, or the sources take turns, from which a schedule departs a bounded number of times by
// pausing one until nothing else is left to do, and for as long after that as it likes. In the second way a
// replica's faults come right after a step of its own: at other times they commute.

package model

import (
	"fmt"
	"slices"
)

// AllInterleavings is the budget of holds that lets any source be next.
const AllInterleavings = -1

// Source numbers: the disks first, then the queues.
func (w *World) sources() int { return w.replicas + w.replicas*w.replicas }

func (w *World) sourceName(source int) string {
	if source < w.replicas {
		return "disk of " + replicaName(source)
	}
	queue := source - w.replicas
	return fmt.Sprintf("messages %s->%s", replicaName(queue/w.replicas), replicaName(queue%w.replicas))
}

func (w *World) filled(s *system, source int) bool {
	if source < w.replicas {
		return len(s.processes[source].writes) > 0
	}
	return len(s.queues[source-w.replicas]) > 0
}

// takeTurns moves the source that was served, if any, behind the others, and new ones behind it.
func (w *World) takeTurns(s *system, served int) {
	s.order = slices.DeleteFunc(s.order, func(source uint8) bool { return int(source) == served || !w.filled(s, int(source)) })
	for source := range w.sources() {
		if w.filled(s, source) && !slices.Contains(s.order, uint8(source)) {
			s.order = append(s.order, uint8(source))
		}
	}
}

// ready reports whether a source has something that may happen now.
func (w *World) ready(s *system, source int) bool {
	if source < w.replicas {
		return s.frozenAt[source] == 0 && len(s.processes[source].writes) > 0
	}
	queue := source - w.replicas
	from, to := queue/w.replicas, queue%w.replicas
	return s.frozenAt[to] == 0 && s.isolated&(1<<from|1<<to) == 0 && len(s.queues[queue]) > 0
}

// enabled returns the actions that a state allows.
func (w *World) enabled(s *system) []Action {
	all := w.Budget.Holds == AllInterleavings
	var actions []Action
	idle := true
	for _, source := range s.order {
		if s.pausedSources&(1<<source) != 0 || !w.ready(s, int(source)) {
			continue
		}
		if all || idle {
			actions = w.sourceActions(s, int(source), actions)
		}
		idle = false
	}
	for i := range s.processes {
		if all || idle || s.touched == i || s.touched == everyReplica {
			actions = w.faultActions(s, i, actions)
		}
	}
	if idle || all {
		actions = w.idleActions(s, actions)
	}
	return actions
}

// idleActions adds the actions that wait until no source is ready, unless all interleavings are wanted.
func (w *World) idleActions(s *system, actions []Action) []Action {
	for source := range w.sources() {
		if s.pausedSources&(1<<source) != 0 {
			actions = append(actions, Action{Kind: Release, Argument: source, description: w.sourceName(source)})
		}
	}
	for i, at := range s.frozenAt {
		if at != 0 {
			actions = append(actions, Action{Kind: Thaw, Replica: i})
		}
		if s.isolated&(1<<i) != 0 {
			actions = append(actions, Action{Kind: Rejoin, Replica: i}, Action{Kind: Rejoin, Replica: i, Argument: messagesLost})
		}
	}
	if s.left.Elapses > 0 {
		for _, us := range w.Spans {
			actions = append(actions, Action{Kind: Elapse, Argument: us})
		}
	}
	actions = w.announceActions(s, actions)
	return w.callActions(s, actions)
}

// sourceActions adds what may happen to the first write or message of a source.
func (w *World) sourceActions(s *system, source int, actions []Action) []Action {
	if s.left.Holds > 0 && (source < w.replicas || !w.SlowDisks) {
		actions = append(actions, Action{Kind: Hold, Argument: source, description: w.sourceName(source)})
	}
	if source < w.replicas {
		return append(actions, Action{Kind: Sync, Replica: source, description: s.processes[source].writes[0].file})
	}
	number := source - w.replicas
	queue := s.queues[number]
	a := Action{Replica: number / w.replicas, Peer: number % w.replicas, description: queue[0].frame.text}
	kinds := []ActionKind{Deliver}
	if s.left.Losses > 0 {
		kinds = append(kinds, Lose)
	}
	if s.left.Doubles > 0 {
		kinds = append(kinds, Double)
	}
	if s.left.Delays > 0 && len(queue) > 1 {
		kinds = append(kinds, Delay)
	}
	for _, a.Kind = range kinds {
		actions = append(actions, a)
	}
	return actions
}

func (w *World) faultActions(s *system, i int, actions []Action) []Action {
	if s.frozenAt[i] != 0 || len(w.Faulty) > 0 && !slices.Contains(w.Faulty, i) {
		return actions
	}
	if s.left.Crashes > 0 {
		for kept := range len(s.processes[i].writes) + 1 {
			actions = append(actions, Action{Kind: Crash, Replica: i, Argument: kept})
			if w.requested(s, i) {
				actions = append(actions, Action{Kind: CrashAlone, Replica: i, Argument: kept})
			}
		}
	}
	for _, fault := range []struct {
		left int
		kind ActionKind
	}{{s.left.LostDisks, LoseDisk}, {s.left.Isolations, Isolate}, {s.left.Freezes, Freeze}, {s.left.Stops, Stop}} {
		if fault.left > 0 {
			actions = append(actions, Action{Kind: fault.kind, Replica: i})
		}
	}
	return actions
}

// requested reports whether a request to a replica is in flight.
func (w *World) requested(s *system, i int) bool {
	for from := range w.replicas {
		if slices.ContainsFunc(s.queues[from*w.replicas+i], func(m *message) bool { return m.request }) {
			return true
		}
	}
	return false
}

// announceActions adds the announcements of processes that are not voters.
func (w *World) announceActions(s *system, actions []Action) []Action {
	if s.left.Announces == 0 {
		return actions
	}
	for i := w.voters; i < w.replicas; i++ {
		for to := range w.voters {
			if s.frozenAt[i] == 0 && s.frozenAt[to] == 0 {
				actions = append(actions, Action{Kind: Announce, Replica: i, Peer: to})
			}
		}
	}
	return actions
}
