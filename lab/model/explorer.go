// The system under exploration: its replicas and operators, its initial state, and how the effects of a step change
// a state.

package model

import (
	"fmt"
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Config describes a system and the schedules to explore.
type Config struct {
	Name string
	// Voters is the number of replicas that form the group at the start, Standbys the number of further processes
	// that are not voters.
	Voters, Standbys int
	// Settled makes every schedule start with an elected leader; otherwise the group has just been bootstrapped.
	Settled bool
	// IsolatedAtStart lists the replicas that are partitioned from the others at the start.
	IsolatedAtStart []int
	// Faulty lists the replicas on which faults (crashes, freezes, partitions, stops) may be injected; empty means
	// all.
	Faulty []int
	// SlowDisks restricts Hold actions to disks; message queues are not paused.
	SlowDisks bool
	// Prelude lists actions that run before the exploration. After each of them, syncs and deliveries run until
	// none is pending.
	Prelude []Action
	// Operators holds the commands of each operator, in order.
	Operators [][]Command
	// Spans are the durations by which the clock may advance in one step, in microseconds.
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
	// Seen counts the events that the exploration provoked.
	Seen Seen
}

// Seen counts the events that schedules provoked, over all states.
type Seen struct{ Leaders, Commits, Acknowledged, Refused, Reads, MemberChanges int }

// FreezeGap is the longest freeze after which a process receives no Thawed input. The event loop of a real process
// uses the same limit.
const FreezeGap = clock.Second

// begin is the monotonic time at the start of a schedule.
const begin = clock.Second

// NewExplorer returns an explorer for a configuration.
func NewExplorer(c Config) *Explorer {
	x := &Explorer{
		Config: c, replicas: c.Voters + c.Standbys, voters: c.Voters, operators: c.Operators, restores: map[string]bool{},
		runtime: newRuntime(), messages: map[digest]*message{}, versions: map[digest]*knownVersion{}, histories: map[digest]error{},
	}
	for operator, operatorCommands := range c.Operators {
		for _, o := range operatorCommands {
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

// initial returns the state in which every schedule starts.
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

// elect advances the clock by four heartbeat spans, after which the first replica has been elected. All writes and
// messages complete after each span; none is lost or delayed.
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

// runPrelude isolates the configured replicas and runs the prelude. The prelude does not count against the budget.
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

// runUntilIdle syncs writes and delivers messages until none is pending.
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

// feed applies one input to a replica.
func (x *Explorer) feed(s *system, i int, input kernel.Input) error {
	return x.applyEffects(s, i, x.runtime.step(s.processes[i], s.now, input))
}

// applyEffects carries out the file removals and sends that a step requested, and checks the invariants on the
// resulting writes, messages and committed version.
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

// handleSend appends a sent frame to the receiver's queue, or processes it as the answer to an operator's call. It
// drops ignored frames and frames to processes other than the replicas.
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

// target returns the replica to which a frame is sent, -1 if there is none.
func (x *Explorer) target(send kernel.Send) int {
	for i := range x.replicas {
		if send.Addr == replicaAddress(i) || send.Addr == "" && send.Conn == replicaConnection(i) {
			return i
		}
	}
	return -1
}

// message returns the message for a frame; equal messages share one value.
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
	return fmt.Sprintf("%s: %d voters, %d standbys, %d commands, budget %+v", x.Name, x.voters, x.Standbys, len(x.commands), x.Budget)
}
