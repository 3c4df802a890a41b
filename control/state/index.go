package state

import (
	"maps"

	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// indexMachine applies edits to the body of an index partition. The body contains the shard map of each index, the
// shard map that the index is being moved to, if any, and the holder of each singleton task's lease.
type indexMachine struct{ body wire.IndexBody }

// ReadIndex decodes the body of an index partition; nil decodes to an empty body. The maps of the result are
// never nil.
func ReadIndex(encoded []byte) (wire.IndexBody, error) {
	var body wire.IndexBody
	var err error
	if len(encoded) > 0 {
		err = wire.Decode(encoded, &body)
	}
	if body.ShardMaps == nil {
		body.ShardMaps = map[string]wire.ShardMap{}
	}
	if body.LeaseHolders == nil {
		body.LeaseHolders = map[string]wire.LeaseHolder{}
	}
	return body, err
}

func (m *indexMachine) encode() []byte { return wire.Encode(&m.body) }

func (m *indexMachine) migrate(editLog *wire.EditLog) {
	migrateEdits(editLog, m.body.LegacyEdits)
	m.body.LegacyEdits = nil
}

func (m *indexMachine) apply(edit *wire.Edit, _ *wire.EditLog, _ wire.Version) (wire.EditReply, bool) {
	var reply wire.EditReply
	switch edit.Op {
	case wire.OpReshard:
		reply = startResharding(&m.body, edit)
	case wire.OpSwitchShardMap:
		reply = switchShardMap(&m.body, edit)
	default:
		reply = unknownOp(edit.Op)
	}
	return reply, reply.Code == wire.CodeOK
}

// startResharding starts moving an index to another shard map. The first shard map of an index is put in force
// immediately, and an edit that names the shard map in force cancels a move.
func startResharding(body *wire.IndexBody, edit *wire.Edit) wire.EditReply {
	var target wire.ShardMap
	if wire.Decode(edit.Body, &target) != nil || target.Next == "" || target.NextShards < 1 {
		return invalidEdit("cut", "needs a name and at least one shard")
	}
	live, ok := body.ShardMaps[edit.Name]
	switch {
	case !ok:
		live = wire.ShardMap{Name: target.Next, Shards: target.NextShards}
	case live.Name == target.Next && live.Shards == target.NextShards:
		live.Next, live.NextShards = "", 0
	case live.Name == target.Next:
		return invalidEdit("shards", "the live cut of that name has another number of shards")
	default:
		live.Next, live.NextShards = target.Next, target.NextShards
	}
	body.ShardMaps[edit.Name] = live
	return wire.EditReply{Code: wire.CodeOK}
}

// switchShardMap puts the next shard map of an index in force if the edit names the move that is in progress.
// A repeated or delayed switch is refused with wire.CodeLostRace.
func switchShardMap(body *wire.IndexBody, edit *wire.Edit) wire.EditReply {
	var expected wire.ShardMap
	live := body.ShardMaps[edit.Name]
	if wire.Decode(edit.Body, &expected) != nil || live.Next == "" || expected != live {
		return wire.EditReply{Code: wire.CodeLostRace}
	}
	body.ShardMaps[edit.Name] = wire.ShardMap{Name: live.Next, Shards: live.NextShards}
	return wire.EditReply{Code: wire.CodeOK}
}

// tickIndex records the lease holders when one of them has changed. Each change increments the lease id of that task.
func tickIndex(encoded []byte, _ wire.Version, _ clock.Micros, leaseHolders map[string]string) ([]byte, bool) {
	body, err := ReadIndex(encoded)
	if err != nil {
		return nil, false
	}
	changed := false
	body.LeaseHolders = maps.Clone(body.LeaseHolders)
	for task, node := range leaseHolders {
		if holder := body.LeaseHolders[task]; holder.Node != node {
			body.LeaseHolders[task] = wire.LeaseHolder{Node: node, LeaseID: holder.LeaseID + 1}
			changed = true
		}
	}
	if !changed {
		return nil, false
	}
	return wire.Encode(&body), true
}
