// The operators. Each has a list of commands and sends one command at a time, to any voter. It sends a command again
// until a final answer arrives, but at most callsPerCommand times in total.

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

// Command is one command of an operator. A change adds an item with the command's name; the checker recognises the
// change by that item in every later version.
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

// call is the progress of a command: how often it was sent, and in open a bit for each replica whose answer is
// outstanding.
type call struct {
	status callStatus
	sent   int
	open   uint8
}

func (c call) ended() bool { return c.status == callAccepted || c.status == callRefused }

// callsPerCommand is the maximum number of times that one command is sent.
const callsPerCommand = 3

// clientConnection is the id of the operators' first connection; ids below it belong to replicas.
const clientConnection = 1000

func replicaConnection(replica int) uint64 { return uint64(100 + replica) }

// callActions adds the calls that operators may make now. An operator's next command waits until the previous one has
// ended, so that a change is sent only after its base was acknowledged. After a refused command the operator sends no
// further commands.
func (x *Explorer) callActions(s *system, actions []Action) []Action {
	if s.left.Calls == 0 {
		return actions
	}
	number := 0
	for _, commands := range x.operators {
		for i := range commands {
			c := s.calls[number+i]
			if c.ended() {
				if c.status == callRefused {
					break
				}
				continue
			}
			if c.sent < callsPerCommand {
				actions = x.callReplicas(s, number+i, actions)
			}
			break
		}
		number += len(commands)
	}
	return actions
}

// callReplicas adds the calls that send a command to a voter, for each voter on which the call would have an effect.
func (x *Explorer) callReplicas(s *system, number int, actions []Action) []Action {
	for to := range x.voters {
		if s.frozenAt[to] == 0 && s.calls[number].open&(1<<to) == 0 && x.hasEffect(s, number, to) {
			actions = append(actions, Action{Kind: Call, Replica: to, Argument: number, commandName: x.commands[number].Name})
		}
	}
	return actions
}

// hasEffect reports whether a call does more than return one non-final answer and leave the replica's state
// unchanged, as a call to a replica that is not leader does.
func (x *Explorer) hasEffect(s *system, number, to int) bool {
	e := x.runtime.step(s.processes[to], s.now, x.callInput(number, to))
	if e.next != s.processes[to] || len(e.sends) != 1 {
		return true
	}
	f := openFrame(e.sends[0].Data)
	final, _ := answerFinal(f.answer)
	return f.kind != frameAnswer || final
}

func (x *Explorer) callInput(number, to int) kernel.Input {
	return kernel.Received{Conn: x.callConnection(number, to), Data: commandFrame(uint64(number)+1, &x.commands[number])}
}

// callConnection returns the id of the connection over which a command is sent to a replica. Each pair of a command
// and a replica has its own connection.
func (x *Explorer) callConnection(number, replica int) uint64 {
	return clientConnection + uint64(number*x.replicas+replica)
}

// handleAnswer processes a replica's answer to a call.
func (x *Explorer) handleAnswer(s *system, connection uint64, r wire.EditReply) error {
	number, replica := int(connection-clientConnection)/x.replicas, int(connection-clientConnection)%x.replicas
	command, c := &x.commands[number], &s.calls[number]
	c.open &^= 1 << replica
	final, accepted := answerFinal(r)
	if !final {
		return nil
	}
	if command.Kind == ReadCommand {
		return x.handleReadAnswer(s, number, r)
	}
	if c.ended() {
		if accepted != (c.status == callAccepted) {
			return violation(InvariantOneAnswer, "command %s was both accepted and refused, the last answer is %s", command.Name, r.Code)
		}
		return nil
	}
	c.status = callRefused
	if accepted {
		c.status = callAccepted
	}
	s.record = s.record.withEnd(number, accepted, nil)
	if !accepted {
		return x.checkRefused(s, number)
	}
	return x.checkAcknowledged(s, number, r)
}

func (x *Explorer) handleReadAnswer(s *system, number int, r wire.EditReply) error {
	c := &s.calls[number]
	if c.ended() || r.Code != "ok" {
		return nil
	}
	got, ok := contentsOf(r.Body)
	if !ok {
		return violation(InvariantReadable, "a read returned a body that cannot be decoded")
	}
	c.status = callAccepted
	x.Seen.Reads++
	s.record = s.record.withEnd(number, true, &reading{configuration: x.valueOf(got), drained: got.drained})
	return nil
}

// valueOf returns the name of the command that wrote the configuration in the answer to a read, "" for the initial
// configuration.
func (x *Explorer) valueOf(c contents) string {
	for _, o := range x.commands {
		if o.Kind == ChangeCommand && o.Revision == c.revision && slices.Contains(c.commands, o.Name) {
			return o.Name
		}
	}
	if c.revision == 0 {
		return ""
	}
	return fmt.Sprint("unknown revision ", c.revision)
}

// changeOf converts a command other than a read to an operation of the history.
func (x *Explorer) changeOf(number int) history.Operation {
	o := &x.commands[number]
	op := history.Operation{Register: history.Configuration, Client: x.operatorOf[number], ID: o.Name}
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

// readsOf converts the answer to a read to operations of the history: one read of the configuration and one of each
// zone.
func (x *Explorer) readsOf(number int, got *reading) []history.Operation {
	read := history.Operation{Register: history.Configuration, Client: x.operatorOf[number], Kind: history.Read, Value: got.configuration}
	all := []history.Operation{read}
	for _, zone := range x.zones {
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
