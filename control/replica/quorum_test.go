// Quorums of ordinary and of joint versions.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/wire"
)

func replicas(ids ...string) (out []wire.Replica) {
	for _, id := range ids {
		out = append(out, wire.Replica{ID: id})
	}
	return out
}

func TestJointQuorumNeedsBothMajorities(t *testing.T) {
	v := wire.Versioned{Voters: replicas("a", "b", "d"), PreviousVoters: replicas("a", "b", "c")}
	of := func(ids ...string) func(string) bool {
		return func(id string) bool { return contains(replicas(ids...), id) }
	}
	must.True(t, quorum(v, of("a", "b")))
	must.True(t, quorum(v, of("a", "c", "d")))
	must.False(t, quorum(v, of("b", "d")), must.Sprint("a majority of only the new voters must not be a quorum"))
	must.False(t, quorum(v, of("a", "c")), must.Sprint("a majority of only the old voters must not be a quorum"))
	must.False(t, quorum(wire.Versioned{}, of("a")), must.Sprint("a version without voters must not have a quorum"))
	must.Len(t, 4, allVoters(v))
}
