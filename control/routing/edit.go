// Applying an operator's edit to a routing table.

package routing

import (
	"crypto/sha256"
	"hash/fnv"
	"slices"

	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
)

// Apply gives the table after an edit. Items are replaced in place by name, new ones come at the
// end, and a name that is to be withdrawn but is not there changes nothing. Neither argument is changed.
func Apply(cur *routingpb.RoutingTable, e *routingpb.RoutingEdit) *routingpb.RoutingTable {
	if e.Whole != nil {
		return &routingpb.RoutingTable{Revision: e.Revision, Routes: e.Whole.Routes, Pools: e.Whole.Pools, Limits: e.Whole.Limits, Further: e.Whole.Further}
	}
	t := &routingpb.RoutingTable{Revision: e.Revision, Limits: cur.GetLimits()}
	t.Routes = mergeByName(cur.GetRoutes(), e.Upsert.GetRoutes(), e.WithdrawRoutes)
	t.Pools = mergeByName(cur.GetPools(), e.Upsert.GetPools(), e.WithdrawPools)
	t.Further = mergeByName(cur.GetFurther(), e.Upsert.GetFurther(), nil)
	if e.Upsert.GetLimits() != nil {
		t.Limits = e.Upsert.Limits
	}
	return t
}

func mergeByName[T interface{ GetName() string }](cur, upsert []T, withdraw []string) []T {
	out := slices.DeleteFunc(slices.Clone(cur), func(v T) bool { return slices.Contains(withdraw, v.GetName()) })
	for _, v := range upsert {
		i := slices.IndexFunc(out, func(o T) bool { return o.GetName() == v.GetName() })
		if i < 0 {
			out = append(out, v)
			continue
		}
		out[i] = v
	}
	return out
}

// Digest sums up an edit as it was sent, its base and revision included.
func Digest(e *routingpb.RoutingEdit) [sha256.Size]byte {
	return sha256.Sum256(encode(e))
}

// LegacyDigest is the digest that releases before 3 remembered; they knew no further fields.
func LegacyDigest(e *routingpb.RoutingEdit) uint64 {
	known := proto.Clone(e).(*routingpb.RoutingEdit)
	for _, t := range []*routingpb.RoutingTable{known.Whole, known.Upsert} {
		if t != nil {
			t.Further = nil
		}
	}
	h := fnv.New64a()
	h.Write(encode(known))
	return h.Sum64()
}

func encode(e *routingpb.RoutingEdit) []byte {
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(e)
	return b
}
