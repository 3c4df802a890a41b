package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/control/routing"
	"wallport/runtime/wire"
)

// RoutingOf decodes the routing table in a configuration body. It returns nil if there is none.
func RoutingOf(body wire.ConfigBody) (*routingpb.RoutingTable, error) {
	if len(body.Routing) == 0 {
		return nil, nil
	}
	table := new(routingpb.RoutingTable)
	if err := proto.Unmarshal(body.Routing, table); err != nil {
		return nil, fmt.Errorf("decode the routing table of %d bytes: %w", len(body.Routing), err)
	}
	return table, nil
}

// editRouting applies an edit of the routing table. The edit names the revision that it is based on. Of two
// edits based on the same revision only the first is applied. A repetition of an applied edit is acknowledged
// again.
func editRouting(body *wire.ConfigBody, editLog *wire.EditLog, next wire.Version, edit *wire.Edit) (reply wire.EditReply, applied bool) {
	e := new(routingpb.RoutingEdit)
	if err := proto.Unmarshal(edit.Body, e); err != nil {
		return invalidEdit("edit", "cannot be read: "+err.Error()), false
	}
	current, err := RoutingOf(*body)
	if err != nil {
		return invalidEdit("body", "the table in force cannot be read: "+err.Error()), false
	}
	if current.GetRevision() != e.Base {
		return replyToOtherBase(editLog, e, current.GetRevision()), false
	}
	if e.Revision <= e.Base {
		return invalidEdit("revision", fmt.Sprintf("%d is not above the current one, %d", e.Revision, e.Base)), false
	}
	table := routing.Apply(current, e)
	if found := routing.Check(table); len(found) > 0 {
		return wire.EditReply{Code: wire.CodeInvalid, Findings: found}, false
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(table)
	if err != nil {
		return invalidEdit("edit", err.Error()), false
	}
	body.Routing = encoded
	recordRoutingEdit(editLog, e, next)
	return wire.EditReply{Code: wire.CodeOK}, true
}

// replyToOtherBase replies to an edit that is not based on the revision in force. If an identical edit was
// applied before, the reply acknowledges it; otherwise the edit lost the race.
func replyToOtherBase(editLog *wire.EditLog, e *routingpb.RoutingEdit, current int64) wire.EditReply {
	if version, applied := findRoutingEdit(editLog, e); applied {
		return wire.EditReply{Code: wire.CodeOK, Version: version}
	}
	return wire.EditReply{Code: wire.CodeLostRace, Findings: []wire.Finding{{Path: "base", Text: fmt.Sprintf("revision %d is in force", current)}}}
}
