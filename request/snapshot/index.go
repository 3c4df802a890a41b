package snapshot

import (
	"slices"

	"wallport/api/configpb"
	"wallport/control/state"
	"wallport/runtime/wire"
)

// buildIndex builds the index that a service of the configuration describes.
func (builder *Builder) buildIndex(snap *Snapshot, service *configpb.Service) *Index {
	index := &Index{Name: service.Index, Service: service, Capacity: float64(service.Capacity)}
	if v, ok := builder.mesh.Partition(state.PartitionOf(service.Index)); ok {
		if body, err := state.ReadIndex(v.Body); err == nil {
			index.ShardMap = body.ShardMaps[service.Index]
		}
	}
	index.ShardMap = builder.servable(snap.Backends, service.Index, index.ShardMap)
	index.Shards = shards(snap.Backends, service.Index, index.ShardMap.Name, index.ShardMap.Shards)
	index.NextShards = shards(snap.Backends, service.Index, index.ShardMap.Next, index.ShardMap.NextShards)
	index.Limits = limits(snap, index)
	return index
}

// limits returns the limits of an index by kind of request. The reservations of active bookings are
// deducted from the capacity first; the kinds share the remaining capacity.
func limits(snap *Snapshot, index *Index) map[string]Limit {
	byKind := map[string]Limit{}
	reserved := 0.0
	for _, booking := range snap.Configuration.Bookings {
		if booking.Index != index.Name || !slices.Contains(snap.Config.ActiveBookings, booking.Id) {
			continue
		}
		capacity := index.Capacity * float64(booking.Slice) / 100
		limit := byKind[booking.Kind]
		limit.Reserved += capacity
		byKind[booking.Kind] = limit
		reserved += capacity
	}
	for _, row := range snap.Configuration.Rows {
		if row.Index != index.Name {
			continue
		}
		limit := byKind[row.Kind]
		limit.Share = (index.Capacity - reserved) * float64(row.Share) / 100
		limit.RateLimit = float64(row.Ceiling)
		byKind[row.Kind] = limit
	}
	return byKind
}

// servable returns the shard map to serve from, normally the live shard map. It returns the map served before
// as long as this node knows a usable backend for each shard of that map but not for each shard of the live
// map, since a new shard map may arrive before the platform's list with its backends.
func (builder *Builder) servable(all []*Backend, index string, live wire.ShardMap) wire.ShardMap {
	was := builder.servedShardMaps[index]
	if was.Name == live.Name || was.Name == "" || servesAll(all, index, live) || !servesAll(all, index, was) {
		builder.servedShardMaps[index] = live
		return live
	}
	return wire.ShardMap{Name: was.Name, Shards: was.Shards, Next: live.Name, NextShards: live.Shards}
}

// servesAll reports whether each shard of a shard map has a selectable backend.
func servesAll(all []*Backend, index string, shardMap wire.ShardMap) bool {
	for _, backends := range shards(all, index, shardMap.Name, shardMap.Shards) {
		if !slices.ContainsFunc(backends, func(b *Backend) bool { return b.Health < Draining }) {
			return false
		}
	}
	return shardMap.Shards > 0
}

// shards returns the backends of each of a shard map's n shards.
func shards(all []*Backend, index, shardMap string, n int) [][]*Backend {
	out := make([][]*Backend, n)
	for _, backend := range all {
		if backend.Index == index && backend.ShardMap == shardMap && backend.Shard >= 0 && backend.Shard < n {
			out[backend.Shard] = append(out[backend.Shard], backend)
		}
	}
	return out
}
