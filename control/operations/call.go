package operations

import (
	"wallport/api/routingpb"
	"wallport/control/state"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// Bounds of a call to a partition's leader.
const (
	// AttemptInterval is the maximum interval between two attempts of a call.
	AttemptInterval = 400 * clock.Millisecond
	// CallTimeout is the time-out of a call that does not set one.
	CallTimeout = 4 * clock.Second
	// InForceTimeout is how long a call waits by default for the nodes to have an edit in force.
	InForceTimeout = 2500 * clock.Millisecond
	// inForcePollInterval is the interval between checks of which versions the nodes have in force.
	inForcePollInterval = 50 * clock.Millisecond
	// minAttempts is the minimum number of attempts that fit into a call's time-out.
	minAttempts = 5
	// maxRedirects bounds how often a call follows a redirect to another address, so that two cores
	// that redirect to each other do not keep it circulating.
	maxRedirects = 16
)

// Submit sends an edit to the leader of its partition. It is answered with a [Result].
type Submit struct {
	Edit wire.Edit
	// AwaitInForce delays the answer, once the edit is committed, until every live node reports it in force.
	AwaitInForce bool
	// AwaitTimeout bounds that delay; 0 means [InForceTimeout].
	AwaitTimeout clock.Micros
	// Timeout bounds the whole call, including the delay. If it is 0, [CallTimeout] bounds the time until the leader's
	// reply, and the delay is not included.
	Timeout clock.Micros
}

// Result is the answer to [Submit] and [Rebuild]. Reply.Code is one of the codes that the operators' APIs return, or
// [CodeUnknownZone].
type Result struct {
	Reply wire.EditReply
	// InForce counts the live nodes that have the edit in force, and Laggards names the others. Both are
	// empty unless AwaitInForce was set.
	InForce  int
	Laggards []string
}

// ReadRouting reads the routing table in force. After the call has arrived, a majority confirms that the table
// is current. The call is answered with a [Routing].
type ReadRouting struct {
	// Timeout bounds the call; 0 means [CallTimeout].
	Timeout clock.Micros
}

// Routing is the answer to [ReadRouting].
type Routing struct {
	// Table is nil if no table has ever been set.
	Table *routingpb.RoutingTable
	// Code is [wire.CodeOK], or [wire.CodeOverloaded] if the table could not be read from a leader.
	Code wire.Code
}

// ReadHistory reads the history of the configurations, including the one in force. After the call has arrived,
// a majority confirms that the history is current. The call is answered with a [History].
type ReadHistory struct{}

// History is the answer to [ReadHistory].
type History struct {
	// Configurations are sorted from the oldest to the newest.
	Configurations []wire.PastConfig
	// Code is [wire.CodeOK], or [wire.CodeOverloaded] if the history could not be read from a leader.
	Code wire.Code
}

// call is a Submit, ReadRouting or ReadHistory in flight.
type call struct {
	command   Submit
	startedAt clock.Micros
	attempts  int
	redirects int
	// undeclined counts how often the edit was sent without being declined by the receiver. While it is not 0,
	// the edit may still take effect.
	undeclined int
	// reply is the leader's final reply, and repliedAt when it arrived. reply is nil until then.
	reply     *wire.EditReply
	repliedAt clock.Micros
	// versionBound reports whether the base of a zone command has been set to the zone's version.
	versionBound bool
	// answer converts the result to the type that the caller expects.
	answer func(result Result) any
}

func (c *call) timeout() clock.Micros {
	if c.command.Timeout > 0 {
		return c.command.Timeout
	}
	return CallTimeout
}

// expired reports whether the caller has stopped waiting. Nothing may be sent for an expired call, because the edit
// could take effect after the caller was informed that it did not.
func (c *call) expired(now clock.Micros) bool { return now-c.startedAt >= c.timeout() }

// awaitTimeout returns how long the call waits for the nodes after the leader's reply.
func (c *call) awaitTimeout() clock.Micros {
	timeout := c.command.AwaitTimeout
	if timeout == 0 {
		timeout = InForceTimeout
	}
	if c.command.Timeout > 0 {
		timeout = min(timeout, c.startedAt+c.command.Timeout-c.repliedAt)
	}
	return timeout
}

func routingAnswer(result Result) any {
	if result.Reply.Code != wire.CodeOK {
		return Routing{Code: wire.CodeOverloaded}
	}
	config, err := state.ReadConfig(result.Reply.Body)
	if err != nil {
		return Routing{Code: wire.CodeOverloaded}
	}
	table, err := state.RoutingOf(config)
	if err != nil {
		return Routing{Code: wire.CodeOverloaded}
	}
	return Routing{Table: table, Code: wire.CodeOK}
}

func historyAnswer(result Result) any {
	editLog, err := state.ReadEditLog(result.Reply.Body)
	if result.Reply.Code != wire.CodeOK || err != nil {
		return History{Code: wire.CodeOverloaded}
	}
	return History{Configurations: editLog.History, Code: wire.CodeOK}
}
