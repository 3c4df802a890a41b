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
	// Away are replicas that are partitioned at the start.
	Away []int
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

// World explores one configuration.
type World struct {
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
func NewWorld(c Config) *World {
	w := &World{
		Config: c, replicas: c.Voters + c.Standbys, voters: c.Voters, operators: c.Operators, restores: map[string]bool{},
		runtime: newRuntime(), messages: map[digest]*message{}, versions: map[digest]*knownVersion{}, histories: map[digest]error{},
	}
	for operator, orders := range c.Operators {
		for _, o := range orders {
			w.commands = append(w.commands, o)
			w.operatorOf = append(w.operatorOf, operator)
			if o.Zone != "" && !slices.Contains(w.zones, o.Zone) {
				w.zones = append(w.zones, o.Zone)
			}
			w.restores[o.Zone] = w.restores[o.Zone] || o.Kind == RestoreCommand
		}
	}
	return w
}

// initial returns the state at the start of every schedule.
func (w *World) initial() (*system, error) {
	n := w.replicas
	s := &system{
		now: begin, processes: make([]*process, n), disks: make([]*disk, n), starts: make([]int, n), frozenAt: make([]int64, n),
		queues: make([][]*message, n*n), calls: make([]call, len(w.commands)), left: w.Budget, record: newRecord(),
	}
	for i := range n {
		files := standbyDisk(i)
		if i < w.voters {
			files = formedDisk(i, w.voters)
		}
		s.disks[i] = newDisk(files)
		if err := w.boot(s, i); err != nil {
			return nil, err
		}
	}
	if w.Settled {
		var err error
		if s, err = w.elect(s); err != nil {
			return nil, err
		}
	}
	return w.play(s)
}

// elect makes the first replica be elected, with nothing lost and nothing late.
func (w *World) elect(s *system) (*system, error) {
	const until = 4
	for range until {
		s.left.Elapses++
		next, err := w.apply(s, Action{Kind: Elapse, Argument: heartbeatSpan})
		if err != nil {
			return nil, err
		}
		if s, err = w.drain(next); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// play runs the prelude, with as much of everything as it takes, and leaves the budget whole.
func (w *World) play(s *system) (*system, error) {
	for _, i := range w.Away {
		s.isolated |= 1 << i
	}
	for _, a := range w.Prelude {
		next, err := w.apply(s, a)
		if err != nil {
			return nil, err
		}
		if s, err = w.drain(next); err != nil {
			return nil, err
		}
	}
	s.left, s.path, s.depth = w.Budget, nil, 0
	return s, nil
}

// drain syncs and delivers until nothing is pending.
func (w *World) drain(s *system) (*system, error) {
	for {
		a, ok := pendingAction(w.enabled(s))
		if !ok {
			return s, nil
		}
		next, err := w.apply(s, a)
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
func (w *World) boot(s *system, i int) error {
	s.starts[i]++
	return w.settleStep(s, i, w.runtime.start(i, s.starts[i], s.now, s.disks[i].files))
}

// feed gives a replica one input.
func (w *World) feed(s *system, i int, input kernel.Input) error {
	return w.settleStep(s, i, w.runtime.step(s.processes[i], s.now, input))
}

// settleStep carries out what a step asked for and checks it.
func (w *World) settleStep(s *system, i int, e *effects) error {
	s.processes[i] = e.next
	if len(e.removes) > 0 {
		s.disks[i] = s.disks[i].without(e.removes)
	}
	for _, wr := range e.next.writes {
		if v, ok := versionIn(wr.file, wr.data); ok {
			if err := w.checkProposed(s, v); err != nil {
				return err
			}
		}
	}
	for _, send := range e.sends {
		if err := w.sent(s, i, send); err != nil {
			return err
		}
	}
	return w.checkCommitted(s, e.next)
}

// sent puts a frame on its way, or hands an answer to its operator.
func (w *World) sent(s *system, from int, send kernel.Send) error {
	f := openFrame(send.Data)
	switch {
	case f.kind == frameIgnored:
		return nil
	case f.kind == frameAnswer && send.Conn >= clientConnection:
		return w.answered(s, send.Conn, f.answer)
	}
	to := w.target(send)
	if to < 0 || to == from {
		return nil
	}
	if err := w.checkSent(s, &f); err != nil {
		return err
	}
	m := w.message(replicaConnection(from), send, f)
	queue := from*w.replicas + to
	s.queues[queue] = append(slices.Clip(s.queues[queue]), m)
	return nil
}

func (w *World) target(send kernel.Send) int {
	for i := range w.replicas {
		if send.Addr == replicaAddress(i) || send.Addr == "" && send.Conn == replicaConnection(i) {
			return i
		}
	}
	return -1
}

func (w *World) message(connection uint64, send kernel.Send, f frame) *message {
	request := send.Addr != ""
	b := append(appendNumber(nil, int64(connection)), byte(boolInt(request)))
	sum := digestOf(append(b, send.Data...))
	if m := w.messages[sum]; m != nil {
		return m
	}
	m := &message{connection: connection, request: request, data: send.Data, digest: sum, frame: f}
	w.messages[sum] = m
	return m
}

func (w *World) String() string {
	return fmt.Sprintf("%s: %d voters, %d standbys, %d orders, budget %+v", w.Name, w.voters, w.Standbys, len(w.commands), w.Budget)
}
