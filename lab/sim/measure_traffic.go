// Counts of the frames that a process sends and receives, by kind of frame, and the processor time of the simulator
// itself.

package sim

import (
	"golang.org/x/sys/unix"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Kinds is an upper bound for the number of frame kinds.
const Kinds = 32

// Flow is a number of frames and their total bytes, without the overhead of the transport.
type Flow struct{ Frames, Bytes int64 }

// Traffic counts the frames, steps and fetches of one process.
type Traffic struct {
	In, Out [Kinds]Flow
	Steps   int64
	Fetches int64
}

func sum(f [Kinds]Flow) (all Flow) {
	for _, v := range f {
		all.Frames += v.Frames
		all.Bytes += v.Bytes
	}
	return all
}

// countFrame counts a frame for both sides of its connection.
func countFrame(from, to *process, data []byte) {
	if len(data) < 2 {
		return
	}
	k, n := data[1]%Kinds, int64(len(data))
	from.traffic.Out[k].Frames++
	from.traffic.Out[k].Bytes += n
	to.traffic.In[k].Frames++
	to.traffic.In[k].Bytes += n
}

// KindNames holds the names of the frame kinds.
var KindNames = map[uint8]string{
	wire.KindHeartbeat: "heartbeat", wire.KindGossip: "gossip", wire.KindVote: "vote", wire.KindVoteReply: "vote_reply",
	wire.KindAccept: "accept", wire.KindAcceptReply: "accept_reply", wire.KindLeaderHeartbeat: "beat", wire.KindLeaderHeartbeatReply: "beat_reply",
	wire.KindBootstrap: "form", wire.KindBootstrapReply: "form_reply", wire.KindPull: "pull", wire.KindPullReply: "pull_reply",
	wire.KindEdit: "edit", wire.KindEditReply: "edit_reply", wire.KindLeaseRequest: "hold", wire.KindLeaseReply: "hold_reply",
	wire.KindAdmitRequest: "claim", wire.KindAdmitReply: "claim_reply", wire.KindOutcome: "settle", wire.KindRebuild: "rebuild",
	wire.KindRebuildReply: "rebuild_reply", wire.KindRecordsRequest: "hand_over", wire.KindRecordsReply: "handed", wire.KindSeenRequest: "seen",
	wire.KindSeenReply: "seen_reply", wire.KindNotice: "notice", wire.KindChunk: "piece", wire.KindChunkAck: "piece_ack",
	wire.KindStatusRequest: "status_request", wire.KindStatusReply: "status_reply",
}

// cpuSeconds returns the user and system processor time of the simulator so far, in seconds.
func cpuSeconds() float64 {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}

// connected delivers to the process the event that a mesh connection to process q has been opened.
func (p *process) connected(q *process, id uint64, addr string, dialed bool) {
	in := kernel.ConnUp{Conn: id, Addr: addr, Peer: kernel.Fingerprint(q.kernel.Boot.Key.Public), Zone: q.settings.Zone, Dialed: dialed, Mesh: true}
	p.deliver(func() { p.step(in) })
}
