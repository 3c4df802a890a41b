// The effect of each action.

package model

import (
	"errors"
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

const noSource = -1

// messagesLost, as the argument of Rejoin, breaks the connections.
const messagesLost = 1

var errNotEnabled = errors.New("the action is not enabled")

// apply returns the state after an action; the state before is not changed.
func (w *World) apply(before *system, a Action) (*system, error) {
	s := before.clone()
	s.path = &link{before: before.path, action: a}
	s.touched = a.touches()
	err := w.act(s, a)
	w.takeTurns(s, w.served(a))
	if err == nil && len(s.record.events) > len(before.record.events) {
		err = w.checkHistory(s)
	}
	return s, err
}

// served returns the source that an action takes from, or noSource.
func (w *World) served(a Action) int {
	switch a.Kind {
	case Deliver, Lose, Double, Delay:
		return w.replicas + a.Replica*w.replicas + a.Peer
	case Sync:
		return a.Replica
	default:
		return noSource
	}
}

// touches returns the replica whose process or connections an action changes.
func (a Action) touches() int {
	switch a.Kind {
	case Deliver, Double, Announce:
		return a.Peer
	case Sync, Crash, CrashAlone, LoseDisk, Isolate, Rejoin, Freeze, Thaw, Stop, Call:
		return a.Replica
	default:
		return everyReplica
	}
}

func (w *World) act(s *system, a Action) error {
	i := a.Replica
	switch a.Kind {
	case Deliver, Lose, Double, Delay:
		return w.pass(s, a)
	case Sync:
		return w.sync(s, i)
	case Elapse:
		s.left.Elapses--
		return w.elapse(s, int64(a.Argument))
	case Crash, CrashAlone:
		s.left.Crashes--
		return w.crash(s, i, a.Argument, a.Kind == CrashAlone)
	case LoseDisk:
		s.left.LostDisks--
		s.disks[i] = newDisk(map[string][]byte{})
		return w.restart(s, i, false)
	case Isolate:
		s.left.Isolations--
		s.isolated |= 1 << i
		return nil
	case Rejoin:
		s.isolated &^= 1 << i
		if a.Argument == messagesLost {
			w.breakConnections(s, i)
		}
		return nil
	case Freeze:
		s.left.Freezes--
		s.frozenAt[i] = s.now
		return nil
	case Thaw:
		return w.thaw(s, i)
	case Announce:
		s.left.Announces--
		return w.announce(s, i, a.Peer)
	case Stop:
		s.left.Stops--
		return w.feed(s, i, kernel.Stopping{})
	case Call:
		return w.call(s, a.Argument, i)
	case Hold:
		s.left.Holds--
		s.pausedSources |= 1 << a.Argument
		return nil
	case Release:
		s.pausedSources &^= 1 << a.Argument
		return nil
	}
	return errNotEnabled
}

// pass delivers, drops, doubles or delays the first message between two replicas.
func (w *World) pass(s *system, a Action) error {
	at := a.Replica*w.replicas + a.Peer
	m, rest := s.queues[at][0], slices.Clone(s.queues[at][1:])
	switch a.Kind {
	case Lose:
		s.left.Losses--
	case Double:
		s.left.Doubles--
		rest = append(rest, m)
	case Delay:
		s.left.Delays--
		rest = append(rest, m)
	}
	s.queues[at] = rest
	if a.Kind == Lose || a.Kind == Delay {
		return nil
	}
	return w.feed(s, a.Peer, kernel.Received{Conn: m.connection, Data: m.data})
}

// sync completes the first pending write of a replica and tells it so.
func (w *World) sync(s *system, i int) error {
	wr := s.processes[i].writes[0]
	if err := w.write(s, i, wr); err != nil {
		return err
	}
	return w.feed(s, i, kernel.Written{Plugin: pluginName, Key: wr.key})
}

// write writes one file to a disk and records which version its owner's identity has held.
func (w *World) write(s *system, i int, wr pendingWrite) error {
	s.disks[i] = s.disks[i].with(wr)
	v, ok := versionIn(wr.file, wr.data)
	identity := identityIn(s.disks[i].files)
	if ok && newer(v.Version, s.record.synced[identity]) {
		s.record = s.record.syncs(identity, v.Version)
	}
	return nil
}

// elapse advances the clock and fires the timers that are due, once each, of the replicas that run.
func (w *World) elapse(s *system, us clock.Micros) error {
	s.now += us
	for i := range w.replicas {
		if s.frozenAt[i] == 0 {
			if err := w.fire(s, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *World) fire(s *system, i int) error {
	for _, t := range s.processes[i].timers {
		if t.at > s.now {
			break
		}
		if err := w.feed(s, i, kernel.Tick{Plugin: t.plugin, Key: t.key}); err != nil {
			return err
		}
	}
	return nil
}

// crash kills a replica with this many of its pending writes synced, and restarts it.
func (w *World) crash(s *system, i, kept int, alone bool) error {
	for _, wr := range s.processes[i].writes[:kept] {
		if err := w.write(s, i, wr); err != nil {
			return err
		}
	}
	return w.restart(s, i, alone)
}

func (w *World) restart(s *system, i int, alone bool) error {
	s.frozenAt[i] = 0
	for from := range w.replicas {
		queue := &s.queues[from*w.replicas+i]
		*queue = slices.DeleteFunc(slices.Clone(*queue), func(m *message) bool { return alone || !m.request })
	}
	for number := range s.calls {
		s.calls[number].open &^= 1 << i
	}
	return w.boot(s, i)
}

func (w *World) breakConnections(s *system, i int) {
	for other := range w.replicas {
		s.queues[i*w.replicas+other], s.queues[other*w.replicas+i] = nil, nil
	}
}

// thaw resumes a replica; it is told of a long gap before anything else, and then its timers fire.
func (w *World) thaw(s *system, i int) error {
	gap := s.now - s.frozenAt[i]
	s.frozenAt[i] = 0
	if gap > FreezeGap {
		if err := w.feed(s, i, kernel.Thawed{Gap: gap}); err != nil {
			return err
		}
	}
	return w.fire(s, i)
}

func (w *World) announce(s *system, i, to int) error {
	identity := identityIn(s.disks[i].files)
	if identity == "" || s.frozenAt[to] != 0 {
		return nil
	}
	return w.feed(s, to, kernel.Received{Conn: replicaConnection(i), Data: announceFrame(i, identity)})
}

// call sends a command to a replica.
func (w *World) call(s *system, number, to int) error {
	c := &s.calls[number]
	if c.sent == 0 {
		s.record = s.record.began(number)
	}
	s.left.Calls--
	c.status = callOpen
	c.sent++
	c.open |= 1 << to
	return w.feed(s, to, w.callInput(number, to))
}
