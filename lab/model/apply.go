// The effect of each action.

package model

import (
	"errors"
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

// noSource means that an action consumes nothing from a source.
const noSource = -1

// messagesLost is the Argument of a Rejoin that breaks the connections and loses the queued messages.
const messagesLost = 1

var errNotEnabled = errors.New("the action is not enabled")

// apply returns the state after an action and the violation that the action causes, if any. It does not modify
// before.
func (x *Explorer) apply(before *system, a Action) (*system, error) {
	s := before.clone()
	s.path = &link{before: before.path, action: a}
	s.touched = a.touches()
	err := x.execute(s, a)
	x.updateSourceOrder(s, x.servedSource(a))
	if err == nil && len(s.record.events) > len(before.record.events) {
		err = x.checkHistory(s)
	}
	return s, err
}

// servedSource returns the source from which an action consumes a write or a message, or noSource.
func (x *Explorer) servedSource(a Action) int {
	switch a.Kind {
	case Deliver, Lose, Double, Delay:
		return x.replicas + a.Replica*x.replicas + a.Peer
	case Sync:
		return a.Replica
	default:
		return noSource
	}
}

// touches returns the replica whose process or connections an action changes, or everyReplica if the action does not
// change exactly one replica.
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

func (x *Explorer) execute(s *system, a Action) error {
	i := a.Replica
	switch a.Kind {
	case Deliver, Lose, Double, Delay:
		return x.transferMessage(s, a)
	case Sync:
		return x.sync(s, i)
	case Elapse:
		s.left.Elapses--
		return x.elapse(s, int64(a.Argument))
	case Crash, CrashAlone:
		s.left.Crashes--
		return x.crash(s, i, a.Argument, a.Kind == CrashAlone)
	case LoseDisk:
		s.left.LostDisks--
		s.disks[i] = newDisk(map[string][]byte{})
		return x.restart(s, i, false)
	case Isolate:
		s.left.Isolations--
		s.isolated |= 1 << i
		return nil
	case Rejoin:
		s.isolated &^= 1 << i
		if a.Argument == messagesLost {
			x.breakConnections(s, i)
		}
		return nil
	case Freeze:
		s.left.Freezes--
		s.frozenAt[i] = s.now
		return nil
	case Thaw:
		return x.thaw(s, i)
	case Announce:
		s.left.Announces--
		return x.announce(s, i, a.Peer)
	case Stop:
		s.left.Stops--
		return x.feed(s, i, kernel.Stopping{})
	case Call:
		return x.call(s, a.Argument, i)
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

// transferMessage delivers, drops, doubles or delays the first message from a.Replica to a.Peer.
func (x *Explorer) transferMessage(s *system, a Action) error {
	at := a.Replica*x.replicas + a.Peer
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
	return x.feed(s, a.Peer, kernel.Received{Conn: m.connection, Data: m.data})
}

// sync completes the first pending write of a replica and delivers the completion to it.
func (x *Explorer) sync(s *system, i int) error {
	wr := s.processes[i].writes[0]
	if err := x.write(s, i, wr); err != nil {
		return err
	}
	return x.feed(s, i, kernel.Written{Plugin: pluginName, Key: wr.key})
}

// write writes one file to a replica's disk. If the file holds a newer version than any synced before under the
// identity stored on the disk, write records that version.
func (x *Explorer) write(s *system, i int, wr pendingWrite) error {
	s.disks[i] = s.disks[i].with(wr)
	v, ok := versionIn(wr.file, wr.data)
	identity := identityIn(s.disks[i].files)
	if ok && newer(v.Version, s.record.synced[identity]) {
		s.record = s.record.withSynced(identity, v.Version)
	}
	return nil
}

// elapse advances the clock and fires each due timer once, on every replica that is not frozen.
func (x *Explorer) elapse(s *system, us clock.Micros) error {
	s.now += us
	for i := range x.replicas {
		if s.frozenAt[i] == 0 {
			if err := x.fire(s, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (x *Explorer) fire(s *system, i int) error {
	for _, t := range s.processes[i].timers {
		if t.at > s.now {
			break
		}
		if err := x.feed(s, i, kernel.Tick{Plugin: t.plugin, Key: t.key}); err != nil {
			return err
		}
	}
	return nil
}

// crash syncs the first pending writes of a replica, kept in number, then kills and restarts the replica.
func (x *Explorer) crash(s *system, i, kept int, alone bool) error {
	for _, wr := range s.processes[i].writes[:kept] {
		if err := x.write(s, i, wr); err != nil {
			return err
		}
	}
	return x.restart(s, i, alone)
}

func (x *Explorer) restart(s *system, i int, alone bool) error {
	s.frozenAt[i] = 0
	for from := range x.replicas {
		queue := &s.queues[from*x.replicas+i]
		*queue = slices.DeleteFunc(slices.Clone(*queue), func(m *message) bool { return alone || !m.request })
	}
	for number := range s.calls {
		s.calls[number].open &^= 1 << i
	}
	return x.boot(s, i)
}

func (x *Explorer) breakConnections(s *system, i int) {
	for other := range x.replicas {
		s.queues[i*x.replicas+other], s.queues[other*x.replicas+i] = nil, nil
	}
}

// thaw resumes a replica. If the gap was longer than FreezeGap, the replica first receives a Thawed input; then its
// due timers fire.
func (x *Explorer) thaw(s *system, i int) error {
	gap := s.now - s.frozenAt[i]
	s.frozenAt[i] = 0
	if gap > FreezeGap {
		if err := x.feed(s, i, kernel.Thawed{Gap: gap}); err != nil {
			return err
		}
	}
	return x.fire(s, i)
}

func (x *Explorer) announce(s *system, i, to int) error {
	identity := identityIn(s.disks[i].files)
	if identity == "" || s.frozenAt[to] != 0 {
		return nil
	}
	return x.feed(s, to, kernel.Received{Conn: replicaConnection(i), Data: announceFrame(i, identity)})
}

// call sends a command to a replica.
func (x *Explorer) call(s *system, number, to int) error {
	c := &s.calls[number]
	if c.sent == 0 {
		s.record = s.record.withBegin(number)
	}
	s.left.Calls--
	c.status = callOpen
	c.sent++
	c.open |= 1 << to
	return x.feed(s, to, x.callInput(number, to))
}
