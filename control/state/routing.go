// The routing table as operators set it: whole or by items, each edit built on
// the revision that is in force. Of two edits on one revision only the first
// is taken; an edit that was taken before is known again and acknowledged.

package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/control/routing"
	"wallport/runtime/wire"
)

// RoutingOf decodes the routing table of a configuration; nil is none.
func RoutingOf(c wire.ConfigBody) (*routingpb.RoutingTable, error) {
	if len(c.Routing) == 0 {
		return nil, nil
	}
	t := new(routingpb.RoutingTable)
	if err := proto.Unmarshal(c.Routing, t); err != nil {
		return nil, err
	}
	return t, nil
}

func editRouting(c *wire.ConfigBody, ledger *wire.EditLog, next wire.Version, raw *wire.Edit) (r wire.EditReply, took bool) {
	e := new(routingpb.RoutingEdit)
	if err := proto.Unmarshal(raw.Body, e); err != nil {
		return invalidEdit("edit", "cannot be read: "+err.Error()), false
	}
	cur, err := RoutingOf(*c)
	if err != nil {
		return invalidEdit("body", "the table in force cannot be read: "+err.Error()), false
	}
	if cur.GetRevision() != e.Base {
		return replyToOtherBase(ledger, e, cur.GetRevision()), false
	}
	if e.Revision <= e.Base {
		return invalidEdit("revision", fmt.Sprintf("%d is not above the current one, %d", e.Revision, e.Base)), false
	}
	t := routing.Apply(cur, e)
	if found := routing.Check(t); len(found) > 0 {
		return wire.EditReply{Code: "invalid", Findings: found}, false
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(t)
	if err != nil {
		return invalidEdit("edit", err.Error()), false
	}
	c.Routing = b
	recordRoutingEdit(ledger, e, next)
	return wire.EditReply{Code: "ok"}, true
}

// replyToOtherBase answers an edit that is not built on the revision in force: exactly this edit
// may have been taken before, else it lost.
func replyToOtherBase(ledger *wire.EditLog, e *routingpb.RoutingEdit, current int64) wire.EditReply {
	if at, taken := findRoutingEdit(ledger, e); taken {
		return wire.EditReply{Code: "ok", Version: at}
	}
	return wire.EditReply{Code: "lost_race", Findings: []wire.Finding{{Path: "base", Text: fmt.Sprintf("revision %d is in force", current)}}}
}
