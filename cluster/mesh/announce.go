package mesh

import (
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Announce signs an entry of this process, stores it and floods it. With withdrawn set, the entry is
// a tombstone that withdraws the earlier entry of the same type and id.
func (m *Mesh) Announce(ctx *kernel.Context, typ, id string, body []byte, withdrawn bool) {
	m.count++
	entry := &wire.Entry{Type: typ, ID: id, Origin: m.k.Boot.Key.Public, Count: m.count, At: ctx.Wall, Tombstone: withdrawn, Body: body}
	sign(entry, m.k.Boot.Key)
	m.seen.add(seenKey(entry), ctx.Now)
	m.store.put(entry, m.self, ctx.Now)
	m.changedAt = ctx.Now
	ctx.Emit(Stored{Entry: entry, Origin: m.self, Local: true})
	m.flood(ctx, entry, 0)
}

// AnnounceVersion stores a committed version of a partition and floods it, unless this process has
// already stored that version or a newer one. Any process may announce a version.
func (m *Mesh) AnnounceVersion(ctx *kernel.Context, v wire.Versioned) {
	if entry := m.storeVersion(ctx, v); entry != nil {
		m.flood(ctx, entry, 0)
	}
}

// StoreVersion stores a version that was received outside the mesh, without flooding it. Peers that
// lack the version receive it by anti-entropy.
func (m *Mesh) StoreVersion(ctx *kernel.Context, v wire.Versioned) { m.storeVersion(ctx, v) }

// storeVersion signs a version as an entry of this process, stores the entry and returns it. It returns
// nil if the version is not newer than the stored one.
func (m *Mesh) storeVersion(ctx *kernel.Context, v wire.Versioned) *wire.Entry {
	if held, ok := m.store.partitions[v.Version.Partition]; ok && !Newer(v.Version, held.Version) {
		return nil
	}
	m.count++
	entry := &wire.Entry{Type: EntryPartition, Origin: m.k.Boot.Key.Public, Count: m.count, At: ctx.Wall, Version: v.Version, Body: v.Body}
	sign(entry, m.k.Boot.Key)
	m.seen.add(seenKey(entry), ctx.Now)
	m.store.putVersion(entry)
	m.changedAt = ctx.Now
	ctx.Emit(Stored{Entry: entry, Origin: m.self, Local: true})
	return entry
}
