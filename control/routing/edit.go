package routing

import (
	"crypto/sha256"
	"hash/fnv"
	"slices"

	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
)

// Apply returns the routing table that results from an edit, which replaces either the whole table or single items.
// Items with an existing name replace the existing item at its position, new items are appended, and withdrawing
// a name that does not exist has no effect. Apply does not modify its arguments; the result shares their items.
func Apply(current *routingpb.RoutingTable, edit *routingpb.RoutingEdit) *routingpb.RoutingTable {
	if whole := edit.Whole; whole != nil {
		return &routingpb.RoutingTable{Revision: edit.Revision, Routes: whole.Routes, Pools: whole.Pools, Limits: whole.Limits, Further: whole.Further}
	}
	table := &routingpb.RoutingTable{Revision: edit.Revision, Limits: current.GetLimits()}
	table.Routes = mergeByName(current.GetRoutes(), edit.Upsert.GetRoutes(), edit.WithdrawRoutes)
	table.Pools = mergeByName(current.GetPools(), edit.Upsert.GetPools(), edit.WithdrawPools)
	table.Further = mergeByName(current.GetFurther(), edit.Upsert.GetFurther(), nil)
	if edit.Upsert.GetLimits() != nil {
		table.Limits = edit.Upsert.Limits
	}
	return table
}

func mergeByName[T interface{ GetName() string }](current, upsert []T, withdraw []string) []T {
	merged := slices.DeleteFunc(slices.Clone(current), func(item T) bool { return slices.Contains(withdraw, item.GetName()) })
	for _, item := range upsert {
		i := slices.IndexFunc(merged, func(other T) bool { return other.GetName() == item.GetName() })
		if i < 0 {
			merged = append(merged, item)
			continue
		}
		merged[i] = item
	}
	return merged
}

// Digest returns the digest of a whole edit, including its base and revision. Identical edits have the same digest.
func Digest(edit *routingpb.RoutingEdit) [sha256.Size]byte {
	return sha256.Sum256(encode(edit))
}

// LegacyDigest returns the digest by which releases before 3 identified an edit. It leaves out the field Further,
// which these releases did not know.
func LegacyDigest(edit *routingpb.RoutingEdit) uint64 {
	known := proto.Clone(edit).(*routingpb.RoutingEdit)
	for _, table := range []*routingpb.RoutingTable{known.Whole, known.Upsert} {
		if table != nil {
			table.Further = nil
		}
	}
	h := fnv.New64a()
	h.Write(encode(known))
	return h.Sum64()
}

func encode(edit *routingpb.RoutingEdit) []byte {
	encoded, _ := proto.MarshalOptions{Deterministic: true}.Marshal(edit)
	return encoded
}
