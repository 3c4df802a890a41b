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

func judgeIndex(value Value, next wire.Version, e *wire.Edit) (Value, wire.EditReply, bool) {
	b, err := ReadIndex(value.Body)
	if err != nil {
		return value, invalid("body", "the part's body cannot be read: "+err.Error()), false
	}
	ledger, err := ReadLedger(value.Ledger)
	if err != nil {
		return value, invalid("ledger", "cannot be read: "+err.Error()), false
	}
	adoptEdits(&ledger, b.LegacyEdits)
	b.LegacyEdits = nil
	if r, ok := editTaken(&ledger, e); ok {
		return value, r, false
	}
	var r wire.EditReply
	switch e.Op {
	case "cut":
		r = startCut(&b, e)
	case "flip":
		r = flipCut(&b, e)
	default:
		r = invalid("op", "no such operation: "+e.Op)
	}
	if r.Code != "ok" {
		return value, r, false
	}
	rememberEdit(&ledger, e, next)
	return Value{Body: wire.Encode(&b), Ledger: wire.Encode(&ledger)}, r, true
}

// startCut begins a move; the first cut of an index is in force at once.
func startCut(b *wire.IndexBody, e *wire.Edit) wire.EditReply {
	var want wire.ShardMap
	if wire.Decode(e.Body, &want) != nil || want.Next == "" || want.NextShards < 1 {
		return invalid("cut", "needs a name and at least one shard")
	}
	live, ok := b.ShardMaps[e.Name]
	switch {
	case !ok:
		live = wire.ShardMap{Name: want.Next, Shards: want.NextShards}
	case live.Name == want.Next && live.Shards == want.NextShards:
		live.Next, live.NextShards = "", 0
	case live.Name == want.Next:
		return invalid("shards", "the live cut of that name has another number of shards")
	default:
		live.Next, live.NextShards = want.Next, want.NextShards
	}
	b.ShardMaps[e.Name] = live
	return wire.EditReply{Code: "ok"}
}

// flipCut makes the next cut the live one, if it is still the same move.
func flipCut(b *wire.IndexBody, e *wire.Edit) wire.EditReply {
	var want wire.ShardMap
	live := b.ShardMaps[e.Name]
	if wire.Decode(e.Body, &want) != nil || live.Next == "" || want != live {
		return wire.EditReply{Code: "lost_race"}
	}
	b.ShardMaps[e.Name] = wire.ShardMap{Name: live.Next, Shards: live.NextShards}
	return wire.EditReply{Code: "ok"}
}

// indexClock writes down who has the duties once that changed.
func indexClock(body []byte, _ wire.Version, _ int64, holders map[string]string) ([]byte, bool) {
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
