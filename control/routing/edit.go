package routing

import (
	"crypto/sha256"
	"hash/fnv"
	"slices"

	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
)

// Apply returns the table after an edit, which replaces it as a whole or by items. Items are replaced in
// place by name, new ones are appended, and a name that is to be withdrawn but does not exist changes
// nothing. Neither argument is changed; the result shares their items.
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

// Digest identifies an edit as it was sent, its base and revision included.
func Digest(edit *routingpb.RoutingEdit) [sha256.Size]byte {
	return sha256.Sum256(encode(edit))
}

// LegacyDigest is the digest by which releases before 3 identified an edit. They knew no further fields,
// so these are left out.
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
