// What an operator can ask for, what came of it, and a call while it is under way.

package operations

import (
	"wallport/api/routingpb"
	"wallport/control/state"
	"wallport/runtime/wire"
)

// ReadRouting asks for the routing table in force, confirmed by a majority after the question
// came. GiveUpUs is how long that may take; 0 stands for GiveUp.
type ReadRouting struct{ GiveUpUs int64 }

// Routing answers ReadRouting. Code is "ok" or "shed"; Table is nil where no table was ever set.
type Routing struct {
	Table *routingpb.RoutingTable
	Code  string
}

// ReadHistory asks for the earlier sheets, confirmed by a majority after the question came.
type ReadHistory struct{}

// History answers ReadHistory. Code is "ok" or "shed"; the newest sheet is the last.
type History struct {
	Sheets []wire.PastConfig
	Code   string
}

type call struct {
	req   Carry
	began int64
	tries int
	hops  int
	// open counts the sendings that may take effect and that nobody has declined.
	open  int
	reply *wire.EditReply
	at    int64
	// bound tells that an order about a zone names the version that it is bound to.
	bound bool
	// outcome makes the answer to the call.
	outcome func(res Result) any
}

func (c *call) giveUp() int64 {
	if c.req.GiveUpUs > 0 {
		return c.req.GiveUpUs
	}
	return GiveUp
}

// expired tells that whoever gave the order has stopped waiting: nothing more may be sent for it.
func (c *call) expired(now int64) bool { return now-c.began >= c.giveUp() }

// waits is how long the call waits for the nodes, from the reply on.
func (c *call) waits() int64 {
	w := c.req.WaitUs
	if w == 0 {
		w = ForceWait
	}
	if c.req.GiveUpUs > 0 {
		w = min(w, c.began+c.req.GiveUpUs-c.at)
	}
	return w
}

func routingOutcome(res Result) any {
	if res.Reply.Code != "ok" {
		return Routing{Code: "shed"}
	}
	config, err := state.ReadConfig(res.Reply.Body)
	if err != nil {
		return Routing{Code: "shed"}
	}
	table, err := state.RoutingOf(config)
	if err != nil {
		return Routing{Code: "shed"}
	}
	return Routing{Table: table, Code: "ok"}
}

func historyOutcome(res Result) any {
	ledger, err := state.ReadEditLog(res.Reply.Body)
	if res.Reply.Code != "ok" || err != nil {
		return History{Code: "shed"}
	}
	return History{Sheets: ledger.History, Code: "ok"}
}
