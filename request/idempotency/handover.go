package idempotency

import (
	"maps"
	"slices"

	"wallport/request/snapshot"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

func encodeRoster(roster []snapshot.Node) []wire.NodeLocation {
	out := make([]wire.NodeLocation, 0, len(roster))
	for _, n := range roster {
		out = append(out, wire.NodeLocation{Name: n.Name, Zone: n.Zone})
	}
	return out
}

func decodeRoster(locations []wire.NodeLocation) []snapshot.Node {
	out := make([]snapshot.Node, 0, len(locations))
	for _, p := range locations {
		out = append(out, snapshot.Node{Name: p.Name, Zone: p.Zone})
	}
	return out
}

// maxHandOverBytes is the size of the collected records, in bytes, above which sendRecords sends them as a frame and
// starts the next one.
const maxHandOverBytes = 256 << 10

// sendRecords sends the requester the records of the keys that it owns now and did not own before. It sends nothing
// if this process may have lost records itself. It also sends nothing if the requester is not in this process's
// roster yet: the requester would miss the records of keys that this process admits later under the smaller roster.
// In both cases the requester asks again.
func (c *Coordinator) sendRecords(ctx *kernel.Context, conn uint64, m wire.RecordsRequest) {
	if slices.ContainsFunc(c.epochs, func(e *epoch) bool { return e.previousRoster == nil && !e.converged(ctx.Now) && !c.startedBeforeAll() }) {
		return
	}
	if !slices.ContainsFunc(c.roster, func(n snapshot.Node) bool { return n.Name == m.Name }) {
		return
	}
	before, now := decodeRoster(m.OldNodes), decodeRoster(m.NewNodes)
	out := wire.RecordsReply{Epoch: m.Epoch, Name: c.name(), KeyOwners: c.ownerCount()}
	size := 0
	var keys []string
	// In a fleet of up to maxOwners nodes every node owns every key, so isOwner can be called with an empty key. A
	// requester that was already an owner in such a fleet has all records.
	if len(before) == 0 || len(before) > maxOwners || !isOwner("", m.Name, before) {
		keys = slices.Sorted(maps.Keys(c.records))
	}
	for _, key := range keys {
		if !isOwner(key, m.Name, now) || len(before) > 0 && isOwner(key, m.Name, before) {
			continue
		}
		rec := c.records[key]
		s := wire.Outcome{Key: key, Code: outcomePending, Status: int(rec.digest), Body: []byte(rec.token)}
		if rec.completed {
			s.Code, s.Body = outcomeCompleted, rec.outcome
		}
		out.Records = append(out.Records, s)
		ctx.Counts.Add("claims_handed_over", 1)
		if size += len(key) + len(s.Body) + 32; size > maxHandOverBytes {
			ctx.Send(conn, wire.KindRecordsReply, 0, &out)
			out.Records, size = nil, 0
		}
	}
	out.Last = true
	ctx.Send(conn, wire.KindRecordsReply, 0, &out)
}

// receiveRecords adds the records from a frame of another owner. The last frame completes that owner's hand-over.
func (c *Coordinator) receiveRecords(ctx *kernel.Context, m wire.RecordsReply) {
	for _, s := range m.Records {
		c.updateRecord(ctx, s)
	}
	for _, e := range c.epochs {
		if e.id == m.Epoch && m.Last {
			e.handedOver[m.Name] = true
			e.maxOwners = max(e.maxOwners, m.KeyOwners)
		}
	}
}
