package replica

import (
	"wallport/cluster/mesh"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

const (
	// LargeResendToPullerAfter is how long a large version is assumed to be in transit to a process that pulled it.
	LargeResendToPullerAfter = 4 * clock.Second
	// maxTrackedConns is the number of connections for which sent large versions are recorded; when that number is
	// reached, the records are cleared.
	maxTrackedConns = 256
)

// sentVersions are the large versions that were sent on one connection, by partition.
type sentVersions map[int]sentVersion

// sentVersion is a large version and when it was sent.
type sentVersion struct {
	version wire.Version
	sentAt  clock.Micros
}

// handlePull answers a pull of the configuration sync with every committed version that is newer than the version of
// the pulling process, the known leaders, and the partitions whose state is confirmed by contact with a majority.
func (h *Host) handlePull(ctx *kernel.Context, conn, id uint64, request wire.Pull) {
	var reply wire.PullReply
	h.recordPuller(ctx, request)
	have := map[int]wire.Version{}
	for _, has := range request.Have {
		have[has.Partition] = has
	}
	for _, g := range h.groups {
		newest := g.committed
		if m, ok := h.mesh.Partition(g.partition); ok && mesh.Newer(m.Version, newest.Version) {
			// A core without a replica of the partition relays the version that it received over the mesh.
			newest = m
		}
		g.reportContact(ctx.Now, newest.Version, &reply)
		if has, ok := have[g.partition]; newest.Version.Term > 0 && (!ok || mesh.Newer(newest.Version, has)) {
			reply.Versions = append(reply.Versions, wire.Versioned{Version: newest.Version, Body: newest.Body})
		}
		if g.leader != "" && g.knowsLeader(ctx.Now) {
			reply.Leaders = append(reply.Leaders, wire.Leader{Partition: g.partition, Term: g.votedTerm, Replica: g.leader, Addr: g.host.addressOf(g.leader, ctx.Now)})
		}
	}
	h.limitPull(ctx.Now, conn, &reply)
	ctx.Send(conn, wire.KindPullReply, id, &reply)
}

// limitPull removes from a reply the large versions that are already in transit on the connection, and the versions
// that don't fit into one message. A later pull can fetch them.
func (h *Host) limitPull(now clock.Micros, conn uint64, reply *wire.PullReply) {
	capacity := wire.MaxMessage - wire.MaxSingleFrame
	versions := reply.Versions
	reply.Versions = nil
	for _, v := range versions {
		if capacity < len(v.Body) || isLarge(len(v.Body)) && !h.maySendLarge(now, conn, v.Version) {
			// Without this version the pulling process lacks something that was acknowledged before the contact, so
			// the reply must not report contact for this partition.
			withheld := partitionBit(v.Version.Partition)
			reply.Partial, reply.ContactMask, reply.RelayedMask = true, reply.ContactMask&^withheld, reply.RelayedMask&^withheld
			continue
		}
		capacity -= len(v.Body)
		reply.Versions = append(reply.Versions, v)
	}
}

// maySendLarge reports whether a large version may be sent on a connection, which is the case unless it is already in
// transit there. If it may be sent, maySendLarge records it as sent now.
func (h *Host) maySendLarge(now clock.Micros, conn uint64, version wire.Version) bool {
	if len(h.largeSent) >= maxTrackedConns || h.largeSent == nil {
		h.largeSent = map[uint64]sentVersions{}
	}
	sent := h.largeSent[conn]
	if sent == nil {
		sent = sentVersions{}
		h.largeSent[conn] = sent
	}
	if last := sent[version.Partition]; last.version == version && now-last.sentAt < LargeResendToPullerAfter {
		return false
	}
	sent[version.Partition] = sentVersion{version, now}
	return true
}
