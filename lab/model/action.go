// Actions, which are the steps of a schedule.

package model

import "fmt"

// ActionKind says what an action does, for instance deliver a message or crash a replica.
type ActionKind uint8

// Kinds of actions. Replica, Peer and Argument below are the fields of the Action.
const (
	// Deliver delivers the first message from Replica to Peer.
	Deliver ActionKind = iota
	// Lose drops the first message from Replica to Peer, Double delivers it and appends a copy to the end of the
	// queue, Delay moves it to the end of the queue.
	Lose
	Double
	Delay
	// Sync completes the first pending write of Replica.
	Sync
	// Elapse advances time by Argument microseconds and fires the timers of the replicas that run.
	Elapse
	// Crash syncs the first Argument pending writes of Replica, then kills and restarts it. Answers in flight to
	// Replica and its outstanding answers to operators are lost; requests in flight to its address reach its next
	// incarnation. CrashAlone does the same but loses these requests too.
	Crash
	CrashAlone
	// LoseDisk kills Replica and restarts it with an empty disk.
	LoseDisk
	// Isolate partitions Replica from all others. Rejoin ends the partition: with Argument 0 the messages queued in
	// the meantime are delivered late, with 1 the connections are broken and these messages are lost.
	Isolate
	Rejoin
	// Freeze suspends the process of Replica, Thaw resumes it.
	Freeze
	Thaw
	// Announce makes Replica, which is not a voter, announce itself to Peer.
	Announce
	// Stop begins a graceful stop of Replica.
	Stop
	// Call sends the operator command with index Argument to Replica.
	Call
	// Hold pauses the source with index Argument, which is a disk or a message queue (see Explorer.sources); Release
	// resumes it.
	Hold
	Release
)

// Action is one step of a schedule.
type Action struct {
	Kind          ActionKind
	Replica, Peer int
	Argument      int
	description   string
	commandName   string
}

var actionNames = []string{
	"deliver", "lose", "double", "delay", "sync", "elapse", "crash", "crash losing requests of", "lose disk", "cut", "rejoin", "freeze", "thaw", "announce", "stop", "call", "hold", "release",
}

func (a Action) String() string {
	name, replica := actionNames[a.Kind], replicaName(a.Replica)
	switch a.Kind {
	case Deliver, Lose, Double, Delay, Announce:
		return fmt.Sprintf("%s %s->%s %s", name, replica, replicaName(a.Peer), a.description)
	case Elapse:
		return fmt.Sprintf("%s %d ms", name, a.Argument/1000)
	case Crash, CrashAlone:
		return fmt.Sprintf("%s %s with %d pending writes synced", name, replica, a.Argument)
	case Call:
		return fmt.Sprintf("%s %s %s", name, replica, a.commandName)
	case Sync:
		return fmt.Sprintf("%s %s %s", name, replica, a.description)
	case Rejoin:
		return fmt.Sprintf("%s %s, messages %s", name, replica, []string{"late", "lost"}[a.Argument])
	case Hold, Release:
		return fmt.Sprintf("%s %s", name, a.description)
	default:
		return name + " " + replica
	}
}

// same reports whether two actions are the same step; their descriptions are not compared.
func (a Action) same(b Action) bool {
	return a.Kind == b.Kind && a.Replica == b.Replica && a.Peer == b.Peer && a.Argument == b.Argument
}
