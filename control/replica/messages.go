package replica

import (
	"fmt"

	"github.com/tinylib/msgp/msgp"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// decode decodes a message and passes it to handle. It closes the connection of a malformed message.
func decode[T any, P interface {
	*T
	msgp.Unmarshaler
}](ctx *kernel.Context, v kernel.Message, handle func(m T)) {
	var m T
	if wire.Decode(v.Body, P(&m)) != nil {
		ctx.Counts.Add("frames_malformed", 1)
		ctx.Drop(v.Conn)
		return
	}
	handle(m)
}

// handleMessage dispatches a message to the group of its partition or to the host.
func (h *Host) handleMessage(ctx *kernel.Context, v kernel.Message) {
	inGroup := func(partition int, handle func(g *Group)) {
		if partition >= 0 && partition < len(h.groups) && !h.diskDamaged {
			handle(h.groups[partition])
		}
	}
	// A machine whose disk was lost runs a different replica at the same address. The new replica must not handle
	// messages for the old replica, because it does not know the votes and versions that the old replica synced.
	addressed := func(id string, partition int, handle func(g *Group)) {
		if id != "" && id != h.replicaID {
			ctx.Counts.Add("part_misdirected", 1)
			h.reportReplacement(ctx, v, id, partition)
			return
		}
		inGroup(partition, handle)
	}
	switch v.Kind {
	case wire.KindVote:
		decode(ctx, v, func(m wire.Vote) {
			addressed(m.To, m.Partition, func(g *Group) { g.handleVote(ctx, v.Conn, v.ID, m) })
		})
	case wire.KindVoteReply:
		decode(ctx, v, func(m wire.VoteReply) {
			inGroup(m.Partition, func(g *Group) { g.handleVoteReply(ctx, m) })
		})
	case wire.KindAccept:
		decode(ctx, v, func(m wire.Accept) {
			addressed(m.To, m.Partition, func(g *Group) {
				h.joinFleet(ctx)
				g.handleAccept(ctx, v.Conn, v.ID, m)
			})
		})
	case wire.KindAcceptReply:
		decode(ctx, v, func(m wire.AcceptReply) {
			inGroup(m.Partition, func(g *Group) { g.handleAcceptReply(ctx, m) })
		})
	case wire.KindLeaderHeartbeat:
		decode(ctx, v, func(m wire.LeaderHeartbeat) {
			addressed(m.To, m.Partition, func(g *Group) { g.handleHeartbeat(ctx, v.Conn, v.ID, m) })
		})
	case wire.KindLeaderHeartbeatReply:
		decode(ctx, v, func(m wire.LeaderHeartbeatReply) {
			inGroup(m.Partition, func(g *Group) { g.handleHeartbeatReply(ctx, m) })
		})
	case wire.KindBootstrap:
		decode(ctx, v, func(m wire.Bootstrap) { h.handleBootstrap(ctx, v.Conn, m) })
	case wire.KindBootstrapReply:
		decode(ctx, v, func(m wire.BootstrapReply) { h.handleBootstrapReply(ctx, m) })
	case wire.KindPull:
		decode(ctx, v, func(m wire.Pull) { h.handlePull(ctx, v.Conn, v.ID, m) })
	case wire.KindEdit:
		decode(ctx, v, func(m wire.Edit) {
			inGroup(m.Partition, func(g *Group) { g.handleEdit(ctx, v.Conn, v.ID, m) })
		})
	case wire.KindRebuild:
		decode(ctx, v, func(m wire.Rebuild) {
			inGroup(m.Partition, func(g *Group) { g.handleRebuild(ctx, v.Conn, v.ID, m) })
		})
	case wire.KindLeave:
		decode(ctx, v, func(m wire.Leave) {
			addressed(m.To, m.Partition, func(g *Group) { g.handleLeave(ctx, v.Conn, m) })
		})
	case wire.KindStatusRequest:
		h.sendStatus(ctx, v)
	case wire.KindLeaseRequest:
		decode(ctx, v, func(m wire.LeaseRequest) {
			inGroup(m.Partition, func(g *Group) { g.handleLeaseRequest(ctx, v.Conn, v.ID, m) })
		})
	}
}

// reportReplacement handles a heartbeat that a leader has addressed to a replica whose disk is lost. It replies with
// the identity of the replica that now runs at this address, so that the leader can make this replica a voter in place
// of the lost one.
func (h *Host) reportReplacement(ctx *kernel.Context, v kernel.Message, id string, partition int) {
	if v.Kind != wire.KindLeaderHeartbeat || partition < 0 || partition >= len(h.groups) || h.groups[partition].isVoter() {
		return
	}
	if h.replicaID == "" || h.diskProblem != diskHealthy || h.stopping {
		return
	}
	ctx.Send(v.Conn, wire.KindLeaderHeartbeatReply, v.ID, &wire.LeaderHeartbeatReply{Partition: partition, From: id, Successor: h.replicaID, Zone: h.kernel.Boot.Settings.Zone})
}

// sendReplica sends a message to a replica, at the current address of the process that has its disk.
func (h *Host) sendReplica(ctx *kernel.Context, to wire.Replica, kind uint8, m msgp.Marshaler) {
	addr := to.Addr
	switch v := m.(type) {
	case *wire.Vote:
		v.To = to.ID
	case *wire.Accept:
		v.To = to.ID
	case *wire.LeaderHeartbeat:
		v.To = to.ID
	case *wire.Leave:
		v.To = to.ID
	}
	if a := h.addressOf(to.ID, ctx.Now); a != "" {
		addr = a
	}
	ctx.Counts.Add("part_messages", 1)
	if accept, ok := m.(*wire.Accept); ok {
		// A slow or absent replica needs only the newest version, so a new Accept replaces an older one that is still
		// queued for the connection.
		ctx.SendLatestTo(addr, kind, m, fmt.Sprintf("version %d", accept.Partition))
		return
	}
	ctx.SendTo(addr, kind, 0, m)
}

// addressOf returns the mesh address of the process that has a replica's disk; an empty string if the address isn't
// known.
func (h *Host) addressOf(id string, now clock.Micros) string {
	if id == h.replicaID {
		return h.kernel.Boot.Settings.Mesh
	}
	if core, ok := h.liveCore(id, now); ok {
		return core.Addr
	}
	return ""
}
