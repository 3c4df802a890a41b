// The parts of the indexes: each index's live cut, the cut it moves to, and
// who has which duty.

package state

import (
	"maps"

	"wallport/runtime/wire"
)

// ReadIndex decodes an index partition's body; nil is the empty one.
func ReadIndex(body []byte) (wire.IndexBody, error) {
	var b wire.IndexBody
	var err error
	if len(body) > 0 {
		err = wire.Decode(body, &b)
	}
	if b.ShardMaps == nil {
		b.ShardMaps = map[string]wire.ShardMap{}
	}
	if b.LeaseHolders == nil {
		b.LeaseHolders = map[string]wire.LeaseHolder{}
	}
	return b, err
}

func applyIndexEdit(value Value, next wire.Version, e *wire.Edit) (Value, wire.EditReply, bool) {
	b, err := ReadIndex(value.Body)
	if err != nil {
		return value, invalidEdit("body", "the part's body cannot be read: "+err.Error()), false
	}
	ledger, err := ReadEditLog(value.EditLog)
	if err != nil {
		return value, invalidEdit("ledger", "cannot be read: "+err.Error()), false
	}
	migrateEdits(&ledger, b.LegacyEdits)
	b.LegacyEdits = nil
	if r, ok := findRepeatedEdit(&ledger, e); ok {
		return value, r, false
	}
	var r wire.EditReply
	switch e.Op {
	case "cut":
		r = startResharding(&b, e)
	case "flip":
		r = finishResharding(&b, e)
	default:
		r = invalidEdit("op", "no such operation: "+e.Op)
	}
	if r.Code != "ok" {
		return value, r, false
	}
	recordEdit(&ledger, e, next)
	return Value{Body: wire.Encode(&b), EditLog: wire.Encode(&ledger)}, r, true
}

// startResharding begins a move; the first cut of an index is in force at once.
func startResharding(b *wire.IndexBody, e *wire.Edit) wire.EditReply {
	var want wire.ShardMap
	if wire.Decode(e.Body, &want) != nil || want.Next == "" || want.NextShards < 1 {
		return invalidEdit("cut", "needs a name and at least one shard")
	}
	live, ok := b.ShardMaps[e.Name]
	switch {
	case !ok:
		live = wire.ShardMap{Name: want.Next, Shards: want.NextShards}
	case live.Name == want.Next && live.Shards == want.NextShards:
		live.Next, live.NextShards = "", 0
	case live.Name == want.Next:
		return invalidEdit("shards", "the live cut of that name has another number of shards")
	default:
		live.Next, live.NextShards = want.Next, want.NextShards
	}
	b.ShardMaps[e.Name] = live
	return wire.EditReply{Code: "ok"}
}

// finishResharding makes the next cut the live one, if it is still the same move.
func finishResharding(b *wire.IndexBody, e *wire.Edit) wire.EditReply {
	var want wire.ShardMap
	live := b.ShardMaps[e.Name]
	if wire.Decode(e.Body, &want) != nil || live.Next == "" || want != live {
		return wire.EditReply{Code: "lost_race"}
	}
	b.ShardMaps[e.Name] = wire.ShardMap{Name: live.Next, Shards: live.NextShards}
	return wire.EditReply{Code: "ok"}
}

// tickIndex writes down who has the duties once that changed.
func tickIndex(body []byte, _ wire.Version, _ int64, holders map[string]string) ([]byte, bool) {
	b, err := ReadIndex(body)
	if err != nil {
		return nil, false
	}
	due := false
	b.LeaseHolders = maps.Clone(b.LeaseHolders)
	for duty, node := range holders {
		if h := b.LeaseHolders[duty]; h.Node != node {
			b.LeaseHolders[duty] = wire.LeaseHolder{Node: node, LeaseID: h.LeaseID + 1}
			due = true
		}
	}
	if !due {
		return nil, false
	}
	return wire.Encode(&b), true
}
