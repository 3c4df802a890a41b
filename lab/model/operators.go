// The operators: each has a list of commands and sends one at a time, to any replica, and again while no final
// answer came.

package model

import (
	"fmt"
	"slices"

	"wallport/lab/history"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// CommandKind is the kind of a command.
type CommandKind uint8

// Kinds of commands.
const (
	ChangeCommand CommandKind = iota
	DrainCommand
	RestoreCommand
	ReadCommand
)

// Command is one command of an operator. A change adds an item with the command's name, by which it is
// recognised in every later version.
type Command struct {
	Name           string
	Kind           CommandKind
	Base, Revision int64
	Zone           string
}

type callStatus uint8

const (
	callWaiting callStatus = iota
	callOpen
	callAccepted
	callRefused
)

// call is the progress of a command; open has a bit for each replica that owes an answer.
type call struct {
	status callStatus
	sent   int
	open   uint8
}

func (c call) ended() bool { return c.status == callAccepted || c.status == callRefused }

// callsPerCommand bounds how often one command is sent.
const callsPerCommand = 3

// clientConnection is the first of the operators' connections; below are those of replicas.
const clientConnection = 1000

func replicaConnection(replica int) uint64 { return uint64(100 + replica) }

// callActions adds the calls that operators may make now: an operator's next command waits until the one before
// has ended, and a change until its base was acknowledged.
func (w *World) callActions(s *system, actions []Action) []Action {
	if s.left.Calls == 0 {
		return actions
	}
	number := 0
	for _, orders := range w.operators {
		for i := range orders {
			c := s.calls[number+i]
			if c.ended() {
				if c.status == callRefused {
					break
				}
				continue
			}
			if c.sent < callsPerCommand {
				actions = w.callEach(s, number+i, actions)
			}
			break
		}
		number += len(orders)
	}
	return actions
}

func (w *World) callEach(s *system, number int, actions []Action) []Action {
	for to := range w.voters {
		if s.frozenAt[to] == 0 && s.calls[number].open&(1<<to) == 0 && w.matters(s, number, to) {
			actions = append(actions, Action{Kind: Call, Replica: to, Argument: number, operatorsOrder: w.commands[number].Name})
		}
	}
	return actions
}

// matters reports whether a call does more than to be declined at once by a replica that does not lead.
func (w *World) matters(s *system, number, to int) bool {
	e := w.runtime.step(s.processes[to], s.now, w.callInput(number, to))
	if e.next != s.processes[to] || len(e.sends) != 1 {
		return true
	}
	f := openFrame(e.sends[0].Data)
	clear, _ := answerClear(f.answer)
	return f.kind != frameAnswer || clear
}

func (w *World) callInput(number, to int) kernel.Input {
	return kernel.Received{Conn: w.callConnection(number, to), Data: commandFrame(uint64(number)+1, &w.commands[number])}
}

// callConnection returns the connection of a command to a replica: each call has its own.
func (w *World) callConnection(number, replica int) uint64 {
	return clientConnection + uint64(number*w.replicas+replica)
}

// answered handles a replica's answer to a call.
func (w *World) answered(s *system, connection uint64, r wire.EditReply) error {
	number, replica := int(connection-clientConnection)/w.replicas, int(connection-clientConnection)%w.replicas
	order, c := &w.commands[number], &s.calls[number]
	c.open &^= 1 << replica
	clear, accepted := answerClear(r)
	if !clear {
		return nil
	}
	if order.Kind == ReadCommand {
		return w.readAnswered(s, number, r)
	}
	if c.ended() {
		if accepted != (c.status == callAccepted) {
			return violation(InvariantOneAnswer, "order %s was answered both ways, last %s", order.Name, r.Code)
		}
		return nil
	}
	c.status = callRefused
	if accepted {
		c.status = callAccepted
	}
	s.record = s.record.ended(number, accepted, nil)
	if !accepted {
		return w.checkRefused(s, number)
	}
	return w.checkAcknowledged(s, number, r)
}

func (w *World) readAnswered(s *system, number int, r wire.EditReply) error {
	c := &s.calls[number]
	if c.ended() || r.Code != "ok" {
		return nil
	}
	got, ok := contentsOf(r.Body)
	if !ok {
		return violation(InvariantReadable, "a read returned a body that cannot be read")
	}
	c.status = callAccepted
	w.Seen.Reads++
	s.record = s.record.ended(number, true, &reading{configuration: w.valueOf(got), drained: got.drained})
	return nil
}

// valueOf returns the name of the command that made the configuration that a read returned.
func (w *World) valueOf(c contents) string {
	for _, o := range w.commands {
		if o.Kind == ChangeCommand && o.Revision == c.revision && slices.Contains(c.commands, o.Name) {
			return o.Name
		}
	}
	if c.revision == 0 {
		return ""
	}
	return fmt.Sprint("unknown revision ", c.revision)
}

// changeOf returns a command other than a read as an operation of the history.
func (w *World) changeOf(number int) history.Operation {
	o := &w.commands[number]
	op := history.Operation{Register: history.Configuration, Client: w.operatorOf[number], ID: o.Name}
	switch o.Kind {
	case ChangeCommand:
		op.Kind, op.Version, op.Base = history.Change, fmt.Sprint(o.Revision), versionName(o.Base)
	case DrainCommand:
		op.Register, op.Kind, op.ID = history.Zone(o.Zone), history.Set, history.Drained
	case RestoreCommand:
		op.Register, op.Kind, op.ID = history.Zone(o.Zone), history.Set, history.Restored
	}
	return op
}

// readsOf returns a read as operations of the history, one of each register.
func (w *World) readsOf(number int, got *reading) []history.Operation {
	read := history.Operation{Register: history.Configuration, Client: w.operatorOf[number], Kind: history.Read, Value: got.configuration}
	all := []history.Operation{read}
	for _, zone := range w.zones {
		read.Register, read.Value = history.Zone(zone), history.Restored
		if slices.Contains(got.drained, zone) {
			read.Value = history.Drained
		}
		all = append(all, read)
	}
	return all
}

func versionName(revision int64) string {
	if revision == 0 {
		return ""
	}
	return fmt.Sprint(revision)
}
