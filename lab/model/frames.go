// Decoding of the messages between replicas, limited to the parts that the checker reads.

package model

import (
	"fmt"

	"github.com/tinylib/msgp/msgp"

	"wallport/control/state"
	"wallport/runtime/wire"
)

// frameKind classifies a frame between processes.
type frameKind uint8

const (
	frameIgnored frameKind = iota
	frameReplica
	frameAnswer
)

// frame holds the parts of a message that the checker reads.
type frame struct {
	kind frameKind
	// leader and term are set for messages that only the leader of that term sends.
	leader string
	term   uint64
	// version is set if the message proposes a version.
	version *wire.Versioned
	id      uint64
	answer  wire.EditReply
	text    string
}

// openFrame decodes a message. Messages of control-state partitions other than the configuration's are classified
// as frameIgnored.
func openFrame(data []byte) (f frame) {
	opened, err := wire.Open(data)
	if err != nil {
		return f
	}
	f.id = opened.ID
	f.text = frameName(opened.Kind)
	switch opened.Kind {
	case wire.KindEditReply:
		if wire.Decode(opened.Body, &f.answer) == nil {
			f.kind = frameAnswer
		}
		return f
	case wire.KindPull, wire.KindPullReply, wire.KindHeartbeat, wire.KindGossip, wire.KindNotice:
		return f
	case wire.KindAccept:
		var m wire.Accept
		if wire.Decode(opened.Body, &m) == nil && m.Partition == state.ConfigPartition {
			f.kind, f.leader, f.term, f.version = frameReplica, m.From, m.Term, &m.Versioned
			f.text = fmt.Sprintf("append %d.%d", m.Versioned.Version.Term, m.Versioned.Version.Seq)
		}
		return f
	case wire.KindLeaderHeartbeat:
		var m wire.LeaderHeartbeat
		if wire.Decode(opened.Body, &m) == nil && m.Partition == state.ConfigPartition {
			f.kind, f.leader, f.term = frameReplica, m.From, m.Term
			f.text = fmt.Sprintf("heartbeat term %d", m.Term)
		}
		return f
	}
	if partitionOf(opened.Body) == state.ConfigPartition {
		f.kind = frameReplica
	}
	return f
}

func frameName(kind uint8) string {
	switch kind {
	case wire.KindVote:
		return "vote request"
	case wire.KindVoteReply:
		return "vote"
	case wire.KindAcceptReply:
		return "append reply"
	case wire.KindLeaderHeartbeatReply:
		return "heartbeat reply"
	default:
		return fmt.Sprintf("kind %d", kind)
	}
}

// partitionOf returns the control-state partition (key "p") of an encoded message of any type, -1 if it cannot be
// decoded.
func partitionOf(body []byte) int {
	v, _, err := msgp.ReadMapStrIntfBytes(body, nil)
	if err != nil {
		return -1
	}
	n, _ := v["p"].(int64)
	return int(n)
}
