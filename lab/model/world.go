// The system under exploration: its replicas and operators, and how an action changes a state.

package model

import (
	"fmt"
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Config describes what is explored.
type Config struct {
	Name string
	// Voters form the group at the start; Standbys are further processes, which are not voters.
	Voters, Standbys int
	// Settled starts with an elected leader instead of a group that was just bootstrapped.
	Settled bool
	// IsolatedAtStart are replicas that are partitioned at the start.
	IsolatedAtStart []int
	// Faulty are the replicas that crash, freeze, are partitioned and so on; empty means all.
	Faulty []int
	// SlowDisks makes holds pause disks only, not messages.
	SlowDisks bool
	// Prelude are actions before the exploration, each followed by everything that results.
	Prelude []Action
	// Operators are the commands of each operator, in order.
	Operators [][]Command
	// Spans are the times that may pass at once, in microseconds.
	Spans  []int
	Budget Budget
}

type knownVersion struct {
	wire.Versioned
	contents contents
}

// Explorer explores one configuration.
type Explorer struct {
	Config
	replicas, voters int
	operators        [][]Command
	commands         []Command
	operatorOf       []int
	zones            []string
	restores         map[string]bool

	runtime   *runtime
	messages  map[digest]*message
	versions  map[digest]*knownVersion
	histories map[digest]error
	// Seen counts what the exploration provoked.
	Seen Seen
}

// Seen counts what schedules provoked, over all states.
type Seen struct{ Leaders, Commits, Acknowledged, Refused, Reads, MemberChanges int }

// FreezeGap is how long a process must have been frozen to be told so, as in the process's own loop.
const FreezeGap = clock.Second

// begin is the steady clock at the start of a schedule.
const begin = clock.Second

// NewWorld returns a world for a configuration.
func NewWorld(c Config) *Explorer {
	x := &Explorer{
		Config: c, replicas: c.Voters + c.Standbys, voters: c.Voters, operators: c.Operators, restores: map[string]bool{},
		runtime: newRuntime(), messages: map[digest]*message{}, versions: map[digest]*knownVersion{}, histories: map[digest]error{},
	}
	for operator, commands := range c.Operators {
		for _, o := range commands {
			x.commands = append(x.commands, o)
			x.operatorOf = append(x.operatorOf, operator)
			if o.Zone != "" && !slices.Contains(x.zones, o.Zone) {
				x.zones = append(x.zones, o.Zone)
			}
			x.restores[o.Zone] = x.restores[o.Zone] || o.Kind == RestoreCommand
		}
	}
	return x
}

// initial returns the state at the start of every schedule.
func (x *Explorer) initial() (*system, error) {
	n := x.replicas
	s := &system{
		now: begin, processes: make([]*process, n), disks: make([]*disk, n), starts: make([]int, n), frozenAt: make([]int64, n),
		queues: make([][]*message, n*n), calls: make([]call, len(x.commands)), left: x.Budget, record: newRecord(),
	}
	for i := range n {
		files := standbyDisk(i)
		if i < x.voters {
			files = bootstrappedDisk(i, x.voters)
		}
		s.disks[i] = newDisk(files)
		if err := x.boot(s, i); err != nil {
			return nil, err
		}
	}
	if x.Settled {
		var err error
		if s, err = x.elect(s); err != nil {
			return nil, err
		}
	}
	return x.runPrelude(s)
}

// elect makes the first replica be elected, with nothing lost and nothing late.
func (x *Explorer) elect(s *system) (*system, error) {
	const rounds = 4
	for range rounds {
		s.left.Elapses++
		next, err := x.apply(s, Action{Kind: Elapse, Argument: heartbeatSpan})
		if err != nil {
			return nil, err
		}
		if s, err = x.runUntilIdle(next); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// runPrelude runs the prelude, with as much of everything as it takes, and leaves the budget whole.
func (x *Explorer) runPrelude(s *system) (*system, error) {
	for _, i := range x.IsolatedAtStart {
		s.isolated |= 1 << i
	}
	for _, a := range x.Prelude {
		next, err := x.apply(s, a)
		if err != nil {
			return nil, err
		}
		if s, err = x.runUntilIdle(next); err != nil {
			return nil, err
		}
	}
	s.left, s.path, s.depth = x.Budget, nil, 0
	return s, nil
}

// runUntilIdle syncs and delivers until nothing is pending.
func (x *Explorer) runUntilIdle(s *system) (*system, error) {
	for {
		a, ok := pendingAction(x.enabled(s))
		if !ok {
			return s, nil
		}
		next, err := x.apply(s, a)
		if err != nil {
			return nil, err
		}
		s = next
	}
}

func pendingAction(actions []Action) (Action, bool) {
	for _, kind := range []ActionKind{Sync, Deliver} {
		for _, a := range actions {
			if a.Kind == kind {
				return a, true
			}
		}
	}
	return Action{}, false
}

// boot starts a replica's process on its disk.
func (x *Explorer) boot(s *system, i int) error {
	s.starts[i]++
	return x.applyEffects(s, i, x.runtime.start(i, s.starts[i], s.now, s.disks[i].files))
}

// feed gives a replica one input.
func (x *Explorer) feed(s *system, i int, input kernel.Input) error {
	return x.applyEffects(s, i, x.runtime.step(s.processes[i], s.now, input))
}

// applyEffects carries out what a step asked for and checks it.
func (x *Explorer) applyEffects(s *system, i int, e *effects) error {
	s.processes[i] = e.next
	if len(e.removes) > 0 {
		s.disks[i] = s.disks[i].without(e.removes)
	}
	for _, wr := range e.next.writes {
		if v, ok := versionIn(wr.file, wr.data); ok {
			if err := x.checkProposed(s, v); err != nil {
				return err
			}
		}
	}
	for _, send := range e.sends {
		if err := x.handleSend(s, i, send); err != nil {
			return err
		}
	}
	return x.checkCommitted(s, e.next)
}

// handleSend puts a frame on its way, or hands an answer to its operator.
func (x *Explorer) handleSend(s *system, from int, send kernel.Send) error {
	f := openFrame(send.Data)
	switch {
	case f.kind == frameIgnored:
		return nil
	case f.kind == frameAnswer && send.Conn >= clientConnection:
		return x.handleAnswer(s, send.Conn, f.answer)
	}
	to := x.target(send)
	if to < 0 || to == from {
		return nil
	}
	if err := x.checkSent(s, &f); err != nil {
		return err
	}
	m := x.message(replicaConnection(from), send, f)
	queue := from*x.replicas + to
	s.queues[queue] = append(slices.Clip(s.queues[queue]), m)
	return nil
}

func (x *Explorer) target(send kernel.Send) int {
	for i := range x.replicas {
		if send.Addr == replicaAddress(i) || send.Addr == "" && send.Conn == replicaConnection(i) {
			return i
		}
	}
	return -1
}

func (x *Explorer) message(connection uint64, send kernel.Send, f frame) *message {
	request := send.Addr != ""
	b := append(appendNumber(nil, int64(connection)), byte(boolInt(request)))
	sum := digestOf(append(b, send.Data...))
	if m := x.messages[sum]; m != nil {
		return m
	}
	m := &message{connection: connection, request: request, data: send.Data, digest: sum, frame: f}
	x.messages[sum] = m
	return m
}

func (x *Explorer) String() string {
	return fmt.Sprintf("%s: %d voters, %d standbys, %d orders, budget %+v", x.Name, x.voters, x.Standbys, len(x.commands), x.Budget)
}
