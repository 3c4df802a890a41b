// The configurations of the bounded exploration and of the random walks.

package model

import "wallport/runtime/clock"

// Time spans by which the clock advances: after heartbeatSpan a leader sends heartbeats; quietSpan is shorter and
// electionSpan longer than the election time-out of the replica that times out first.
const (
	heartbeatSpan = int(160 * clock.Millisecond)
	quietSpan     = int(480 * clock.Millisecond)
	electionSpan  = int(560 * clock.Millisecond)
	// If splitVoteSpan elapses twice from the start, two of three replicas become candidates.
	splitVoteSpan = int(270 * clock.Millisecond)
)

// change returns a command that adds an item with the given name to the configuration with revision base. The
// resulting configuration has the given revision.
func change(name string, base, revision int64) Command {
	return Command{Name: name, Kind: ChangeCommand, Base: base, Revision: revision}
}

func read(name string) Command { return Command{Name: name, Kind: ReadCommand} }

// Configs returns the configurations of the bounded exploration. Each is named after the situation that it
// provokes.
func Configs() []Config {
	one := [][]Command{{change("a1", 0, 1)}}
	two := [][]Command{{change("a1", 0, 1), change("a2", 1, 2)}}
	rivals := [][]Command{{change("a1", 0, 1)}, {change("b1", 0, 1)}}
	reader := [][]Command{{change("a1", 0, 1)}, {read("b-read"), read("b-again")}}
	drains := [][]Command{{{Name: "a-drain", Kind: DrainCommand, Zone: "zone-1"}}, {read("b-read")}}
	election, both, quiet := []int{electionSpan}, []int{heartbeatSpan, electionSpan}, []int{quietSpan}
	// In silent, a voter has been isolated for almost long enough to be replaced when a standby announces itself.
	pass := Action{Kind: Elapse, Argument: quietSpan}
	silent := []Action{pass, pass, pass, {Kind: Announce, Replica: 3, Peer: 0}}
	// In replaced, the first replica is partitioned long enough for another replica to become leader.
	replaced := []Action{{Kind: Isolate, Replica: 0}, {Kind: Elapse, Argument: electionSpan}}
	// In behind, the first command is committed without the second replica. Then the first replica is isolated and
	// the second one rejoins and has to become leader although its version is older.
	behind := []Action{{Kind: Call, Replica: 0}, {Kind: Isolate, Replica: 0}, {Kind: Rejoin, Replica: 1, Argument: messagesLost}}
	return []Config{
		{Name: "election and a crash", Voters: 3, Operators: one, Spans: []int{splitVoteSpan}, Budget: Budget{Elapses: 2, Crashes: 1, Holds: 1}},
		{Name: "election and two crashes", Voters: 3, Operators: one, Spans: both, Budget: Budget{Elapses: 2, Crashes: 2}},
		{Name: "election, late messages", Voters: 3, Operators: one, Spans: both, Budget: Budget{Elapses: 2, Holds: 1, Calls: 1}},
		{Name: "two candidates, late messages", Voters: 3, Operators: one, Spans: []int{splitVoteSpan}, Budget: Budget{Elapses: 2, Holds: 3}},
		{Name: "leader lost with a slow disk", Voters: 3, Operators: one, Spans: []int{heartbeatSpan}, Faulty: []int{0}, SlowDisks: true, Budget: Budget{Elapses: 4, Holds: 1, Crashes: 1, Calls: 1}},
		{Name: "rivals, late messages", Voters: 3, Settled: true, Operators: rivals, Spans: both, Budget: Budget{Elapses: 1, Holds: 1, Calls: 3}},
		{Name: "rivals, lost and doubled", Voters: 3, Settled: true, Operators: rivals, Spans: both, Budget: Budget{Elapses: 1, Losses: 1, Doubles: 1, Calls: 2}},
		{Name: "repeat after a crash", Voters: 3, Settled: true, Operators: two, Spans: election, Budget: Budget{Elapses: 2, Crashes: 1, Calls: 3}},
		{Name: "leader cut off", Voters: 3, Settled: true, Operators: reader, Spans: election, Budget: Budget{Elapses: 2, Isolations: 1, Calls: 2}},
		{Name: "leader back with old messages", Voters: 3, Settled: true, Operators: one, Spans: election, Faulty: []int{0}, Budget: Budget{Elapses: 1, Isolations: 1, Holds: 1, Calls: 1}},
		{Name: "new leader with an older version", Voters: 3, Settled: true, IsolatedAtStart: []int{1}, Prelude: behind, Operators: reader, Spans: election, Budget: Budget{Elapses: 1, Holds: 1, Calls: 2}},
		{Name: "order to a leader cut off", Voters: 3, Settled: true, Prelude: replaced, Operators: two, Spans: election, Budget: Budget{Holds: 1, Calls: 4}},
		{Name: "leader frozen", Voters: 3, Settled: true, Operators: reader, Spans: election, Budget: Budget{Elapses: 2, Freezes: 1, Calls: 2}},
		{Name: "a drain delayed", Voters: 3, Settled: true, Operators: drains, Spans: both, Budget: Budget{Elapses: 1, Delays: 1, Holds: 1, Calls: 2}},
		{Name: "disk lost", Voters: 3, Settled: true, Operators: two, Spans: both, Budget: Budget{Elapses: 2, LostDisks: 1, Calls: 2}},
		{Name: "replacement", Voters: 3, Standbys: 1, Settled: true, IsolatedAtStart: []int{2}, Prelude: silent, Operators: one, Spans: quiet, Budget: Budget{Elapses: 2, Isolations: 1, Calls: 1}},
		{Name: "replacement and a crash", Voters: 3, Standbys: 1, Settled: true, IsolatedAtStart: []int{2}, Prelude: silent, Operators: one, Spans: quiet, Budget: Budget{Elapses: 2, Crashes: 1, Calls: 1}},
		{Name: "replacement, late messages", Voters: 3, Standbys: 1, Settled: true, IsolatedAtStart: []int{2}, Prelude: silent, Operators: one, Spans: quiet, Budget: Budget{Elapses: 2, Holds: 1, Calls: 1}},
		{Name: "planned stop", Voters: 3, Standbys: 1, Settled: true, Operators: two, Spans: election, Budget: Budget{Elapses: 2, Stops: 1, Announces: 1, Calls: 2}},
	}
}

// WithMoreFaults returns a copy of the configuration with each nonzero budget increased by the given number, for a
// longer exploration.
func (c Config) WithMoreFaults(by int) Config {
	b := &c.Budget
	for _, n := range []*int{
		&b.Elapses, &b.Losses, &b.Doubles, &b.Delays, &b.Crashes, &b.LostDisks, &b.Isolations, &b.Freezes, &b.Announces, &b.Stops, &b.Calls, &b.Holds,
	} {
		if *n > 0 {
			*n += by
		}
	}
	// A group of three voters tolerates the loss of only one disk.
	b.LostDisks = min(b.LostDisks, 1)
	return c
}

// RandomWalkConfig returns the configuration for random walks, with the given number of replicas. Its budget allows
// every kind of fault, most kinds several times.
func RandomWalkConfig(replicas int) Config {
	return Config{
		Name: "everything", Voters: 3, Standbys: max(0, replicas-3), Spans: []int{heartbeatSpan, quietSpan, electionSpan},
		Operators: [][]Command{
			{change("a1", 0, 1), change("a2", 1, 2), read("a-read"), change("a3", 2, 3)},
			{change("b1", 0, 1), read("b-read"), {Name: "b-drain", Kind: DrainCommand, Zone: "zone-1"}, read("b-again")},
		},
		Budget: Budget{
			Holds: AllInterleavings, Elapses: 60, Losses: 6, Doubles: 4, Delays: 6, Crashes: 4, LostDisks: 1, Isolations: 3, Freezes: 2, Announces: 8, Stops: 1, Calls: 24,
		},
	}
}
