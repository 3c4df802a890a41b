// The actions that a state allows. A source is a replica's disk, whose first pending write may be synced, or the
// queue from one replica to another, whose first message may be delivered. There are two modes. With
// AllInterleavings, any source may be served next. Otherwise sources are served in round-robin order, and a schedule
// departs from that order a bounded number of times by pausing a source: a paused source can be released whenever no
// other source is ready. In the second mode a replica's faults are enabled only right after a step that affected that
// replica or no single replica, or when no source is ready; at other times a fault would commute with the steps of
// the other replicas.

package model

import (
	"fmt"
	"slices"
)

// AllInterleavings is the value of Budget.Holds with which any source may be served next.
const AllInterleavings = -1

// sources returns the number of sources. Sources are numbered from 0, the disks first, then the queues.
func (x *Explorer) sources() int { return x.replicas + x.replicas*x.replicas }

func (x *Explorer) sourceName(source int) string {
	if source < x.replicas {
		return "disk of " + replicaName(source)
	}
	queue := source - x.replicas
	return fmt.Sprintf("messages %s->%s", replicaName(queue/x.replicas), replicaName(queue%x.replicas))
}

// filled reports whether a source has a pending write or a message.
func (x *Explorer) filled(s *system, source int) bool {
	if source < x.replicas {
		return len(s.processes[source].writes) > 0
	}
	return len(s.queues[source-x.replicas]) > 0
}

// updateSourceOrder moves the served source to the end of the order, removes empty sources and appends newly
// filled ones.
func (x *Explorer) updateSourceOrder(s *system, served int) {
	s.order = slices.DeleteFunc(s.order, func(source uint8) bool { return int(source) == served || !x.filled(s, int(source)) })
	for source := range x.sources() {
		if x.filled(s, source) && !slices.Contains(s.order, uint8(source)) {
			s.order = append(s.order, uint8(source))
		}
	}
}

// ready reports whether a source has a write or a message that can be processed now: neither a freeze nor a
// partition blocks it.
func (x *Explorer) ready(s *system, source int) bool {
	if source < x.replicas {
		return s.frozenAt[source] == 0 && len(s.processes[source].writes) > 0
	}
	queue := source - x.replicas
	from, to := queue/x.replicas, queue%x.replicas
	return s.frozenAt[to] == 0 && s.isolated&(1<<from|1<<to) == 0 && len(s.queues[queue]) > 0
}

// enabled returns the actions that a state allows.
func (x *Explorer) enabled(s *system) []Action {
	all := x.Budget.Holds == AllInterleavings
	var actions []Action
	idle := true
	for _, source := range s.order {
		if s.pausedSources&(1<<source) != 0 || !x.ready(s, int(source)) {
			continue
		}
		if all || idle {
			actions = x.sourceActions(s, int(source), actions)
		}
		idle = false
	}
	for i := range s.processes {
		if all || idle || s.touched == i || s.touched == everyReplica {
			actions = x.faultActions(s, i, actions)
		}
	}
	if idle || all {
		actions = x.idleActions(s, actions)
	}
	return actions
}

// idleActions adds the actions that are allowed only when no source is ready, or always with AllInterleavings.
func (x *Explorer) idleActions(s *system, actions []Action) []Action {
	for source := range x.sources() {
		if s.pausedSources&(1<<source) != 0 {
			actions = append(actions, Action{Kind: Release, Argument: source, description: x.sourceName(source)})
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
		for _, us := range x.Spans {
			actions = append(actions, Action{Kind: Elapse, Argument: us})
		}
	}
	actions = x.announceActions(s, actions)
	return x.callActions(s, actions)
}

// sourceActions adds the actions on the first write or message of a source.
func (x *Explorer) sourceActions(s *system, source int, actions []Action) []Action {
	if s.left.Holds > 0 && (source < x.replicas || !x.SlowDisks) {
		actions = append(actions, Action{Kind: Hold, Argument: source, description: x.sourceName(source)})
	}
	if source < x.replicas {
		return append(actions, Action{Kind: Sync, Replica: source, description: s.processes[source].writes[0].file})
	}
	number := source - x.replicas
	queue := s.queues[number]
	a := Action{Replica: number / x.replicas, Peer: number % x.replicas, description: queue[0].frame.text}
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

func (x *Explorer) faultActions(s *system, i int, actions []Action) []Action {
	if s.frozenAt[i] != 0 || len(x.Faulty) > 0 && !slices.Contains(x.Faulty, i) {
		return actions
	}
	if s.left.Crashes > 0 {
		for kept := range len(s.processes[i].writes) + 1 {
			actions = append(actions, Action{Kind: Crash, Replica: i, Argument: kept})
			if x.requested(s, i) {
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

// requested reports whether any request to a replica is in flight.
func (x *Explorer) requested(s *system, i int) bool {
	for from := range x.replicas {
		if slices.ContainsFunc(s.queues[from*x.replicas+i], func(m *message) bool { return m.request }) {
			return true
		}
	}
	return false
}

// announceActions adds, for each standby and each voter, the announcement of the standby to the voter, unless one of
// them is frozen.
func (x *Explorer) announceActions(s *system, actions []Action) []Action {
	if s.left.Announces == 0 {
		return actions
	}
	for i := x.voters; i < x.replicas; i++ {
		for to := range x.voters {
			if s.frozenAt[i] == 0 && s.frozenAt[to] == 0 {
				actions = append(actions, Action{Kind: Announce, Replica: i, Peer: to})
			}
		}
	}
	return actions
}
