// What an operator can ask for, what came of it, and a call while it is under way.

package operations

import (
	"wallport/api/routingpb"
	"wallport/control/state"
	"wallport/runtime/wire"
)

// ReadRouting asks for the routing table in force, confirmed by a majority after the question
// came. Timeout is how long that may take; 0 stands for CallTimeout.
type ReadRouting struct{ Timeout int64 }

// Routing answers ReadRouting. Code is "ok" or "shed"; Table is nil where no table was ever set.
type Routing struct {
	Table *routingpb.RoutingTable
	Code  wire.Code
}

// ReadHistory asks for the earlier sheets, confirmed by a majority after the question came.
type ReadHistory struct{}

// History answers ReadHistory. Code is "ok" or "shed"; the newest sheet is the last.
type History struct {
	Configurations []wire.PastConfig
	Code           wire.Code
}

type call struct {
	command   Submit
	startedAt int64
	attempts  int
	redirects int
	// undeclined counts the sendings that may take effect and that nobody has declined.
	undeclined int
	reply      *wire.EditReply
	repliedAt  int64
	// versionBound tells that an order about a zone names the version that it is bound to.
	versionBound bool
	// answer makes the answer to the call.
	answer func(res Result) any
}

func (c *call) timeout() int64 {
	if c.command.Timeout > 0 {
		return c.command.Timeout
	}
	return CallTimeout
}

// expired tells that whoever gave the order has stopped waiting: nothing more may be sent for it.
func (c *call) expired(now int64) bool { return now-c.startedAt >= c.timeout() }

// awaitTimeout is how long the call waits for the nodes, from the reply on.
func (c *call) awaitTimeout() int64 {
	w := c.command.AwaitTimeout
	if w == 0 {
		w = InForceTimeout
	}
	if c.command.Timeout > 0 {
		w = min(w, c.startedAt+c.command.Timeout-c.repliedAt)
	}
	return w
}

func routingOutcome(res Result) any {
	if res.Reply.Code != wire.CodeOK {
		return Routing{Code: wire.CodeOverloaded}
	}
	config, err := state.ReadConfig(res.Reply.Body)
	if err != nil {
		return Routing{Code: wire.CodeOverloaded}
	}
	table, err := state.RoutingOf(config)
	if err != nil {
		return Routing{Code: wire.CodeOverloaded}
	}
	return Routing{Table: table, Code: wire.CodeOK}
}

func historyOutcome(res Result) any {
	ledger, err := state.ReadEditLog(res.Reply.Body)
	if res.Reply.Code != wire.CodeOK || err != nil {
		return History{Code: wire.CodeOverloaded}
	}
	return History{Configurations: ledger.History, Code: wire.CodeOK}
}
