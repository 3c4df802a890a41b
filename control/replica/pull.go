package replica

import (
	"wallport/cluster/mesh"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

const (
	// LargeResendToPullerAfter is how long a large version counts as on its way to a process that pulled it.
	LargeResendToPullerAfter = 4 * clock.Second
	// maxTrackedConns bounds the connections for which that is remembered.
	maxTrackedConns = 256
)

// sentVersions are the large versions that were sent on a connection, by partition.
type sentVersions map[int]sentVersion

// sentVersion is a large version and when it was sent.
type sentVersion struct {
	version wire.Version
	sentAt  clock.Micros
}

// handlePull answers a pull of the configuration sync with every committed version that is newer than
// what the asking process has, the leaders that are known, and which of it is confirmed by contact.
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
			// A core that has no replica of the partition hands on what the mesh brought it.
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

// limitPull leaves out of a reply the large versions that are on their way on the connection already, and
// those that don't fit into one message: the next pull brings them.
func (h *Host) limitPull(now clock.Micros, conn uint64, reply *wire.PullReply) {
	capacity := wire.MaxMessage - wire.MaxSingleFrame
	versions := reply.Versions
	reply.Versions = nil
	for _, v := range versions {
		if capacity < len(v.Body) || isLarge(len(v.Body)) && !h.maySendLarge(now, conn, v.Version) {
			// Without this version the asking process lacks something that was acknowledged before the
			// contact, so the contact proves nothing for the partition.
			withheld := partitionBit(v.Version.Partition)
			reply.Partial, reply.ContactMask, reply.RelayedMask = true, reply.ContactMask&^withheld, reply.RelayedMask&^withheld
			continue
		}
		capacity -= len(v.Body)
		reply.Versions = append(reply.Versions, v)
	}
}

// maySendLarge reports whether a large version isn't on its way on a connection, and records that it is now.
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
