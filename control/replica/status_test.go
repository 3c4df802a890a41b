// The status of a replica as shown to operators.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/diskfile"
	"wallport/runtime/wire"
)

// partition0Status returns the status of partition 0.
func (c *core) partition0Status(t *testing.T) wire.ReplicaStatus {
	t.Helper()
	reply := sent[wire.StatusReply](t, c.send(wire.KindStatusRequest, &wire.StatusRequest{}), wire.KindStatusReply)[0]
	must.Eq(t, "10.0.0.1:1", reply.Addr)
	must.Len(t, Partitions, reply.Replicas)
	return reply.Replicas[0]
}

func TestStatusShowsLeaderContact(t *testing.T) {
	c := newCore(t, nil)
	must.Eq(t, string(stateFollower), c.partition0Status(t).State)
	must.False(t, c.partition0Status(t).InContact)
	g := electLeader(t, c)
	c.now += HeartbeatInterval
	c.tick()
	c.replyToHeartbeat(g, 0)
	s := c.partition0Status(t)
	must.Eq(t, string(stateLeader), s.State)
	must.True(t, s.InContact)
	must.Eq(t, g.term, s.Term)
	must.Eq(t, g.committed.Version, s.Committed)
	must.Eq(t, 3, s.Voters)
	c.now += ContactFor + 1
	must.False(t, c.partition0Status(t).InContact)
	must.Eq(t, string(stateLeader), c.partition0Status(t).State, must.Sprint("the leader must not step down before the next tick"))
	c.tick()
	must.Eq(t, string(stateFollower), c.partition0Status(t).State)
}

func TestStatusShowsMembershipChange(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	must.Eq(t, "", c.partition0Status(t).Change)
	c.send(wire.KindPull, &wire.Pull{Addr: "10.0.0.9:1", Replica: "d", Zone: "z4"})
	c.send(wire.KindLeave, &wire.Leave{To: "me", From: "b"})
	must.Eq(t, string(reasonLeaving), c.partition0Status(t).Change)
	c.syncLearners(t, g, "d")
	must.Eq(t, string(changeAwaitingCommit), c.partition0Status(t).Change, must.Sprint("the change must be shown as awaiting its commit once the joint version is proposed"))
	must.Eq(t, 3, c.partition0Status(t).Voters, must.Sprint("the voters must be counted by the version on the leader's disk, which is not the joint version yet"))
}

func TestStatusOfStandbyAndDamagedDisk(t *testing.T) {
	v := version(7, 3)
	v.Voters = replicas("a", "b", "c")
	standby := newCore(t, map[string][]byte{versionFile(v.Version): diskfile.Pack(wire.Encode(&v))})
	must.Eq(t, string(stateStandby), standby.partition0Status(t).State)
	must.Eq(t, v.Version, standby.partition0Status(t).Stored)
	damaged := newCore(t, map[string][]byte{voteFile(0): []byte("torn")})
	must.Eq(t, string(stateDamaged), damaged.partition0Status(t).State)
}
