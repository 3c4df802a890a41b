// The actions of a schedule, and which of them a state allows.

package model

import "fmt"

// ActionKind is what happens in one step.
type ActionKind uint8

// Kinds of actions.
const (
	// Deliver hands the first message from Replica to Peer over.
	Deliver ActionKind = iota
	// Lose drops it, Double hands it over and keeps a copy behind the others, Delay puts it behind them.
	Lose
	Double
	Delay
	// Sync ends the first pending write of Replica.
	Sync
	// Elapse lets time pass, Argument is how much in microseconds, and runs the timers of those that run.
	Elapse
	// Crash kills Replica and starts it again, with the first Argument of its pending writes synced.
	// Answers on its connections are lost; requests that wait for a new connection reach its next
	// life, or are lost as well in CrashAlone.
	Crash
	CrashAlone
	// LoseDisk does so with an empty disk.
	LoseDisk
	// Isolate cuts Replica off from all others. Rejoin ends that: with Argument 0 what waited is
	// delivered late, with 1 the connections broke and it is lost.
	Isolate
	Rejoin
	// Freeze stops Replica as it is, Thaw lets it go on.
	Freeze
	Thaw
	// Announce has Replica, which has no vote, make itself known to Peer.
	Announce
	// Stop begins a planned stop of Replica.
	Stop
	// Call sends operator's order number Argument to Replica.
	Call
	// Hold puts source number Argument off, Release ends that.
	Hold
	Release
)

// Action is one step of a schedule.
type Action struct {
	Kind           ActionKind
	Replica, Peer  int
	Argument       int
	description    string
	operatorsOrder string
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
		return fmt.Sprintf("%s %s %s", name, replica, a.operatorsOrder)
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

// same reports whether two actions are the same step, whatever is known of them.
func (a Action) same(b Action) bool {
	return a.Kind == b.Kind && a.Replica == b.Replica && a.Peer == b.Peer && a.Argument == b.Argument
}
