package operations

import (
	"wallport/cluster/membership"
	"wallport/cluster/mesh"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// StatusTimeout is the time-out for the cores' reports of the state of their replicas.
const StatusTimeout = 700 * clock.Millisecond

// StateTimedOut is the state shown for the replicas of a core that did not reply in time. All other states
// are reported by the cores, see [wire.ReplicaStatus].
const StateTimedOut = "silent"

// ReadStatus requests the state of every known core's replicas. It is answered with a [Status] when every core has
// replied or [StatusTimeout] has passed. The state is collected only on request.
type ReadStatus struct{}

// Status is the answer to [ReadStatus], with one entry for each known core, ordered by name.
type Status struct{ Cores []CoreStatus }

// CoreStatus is the report of one core.
type CoreStatus struct {
	Name, Zone, Addr string
	// Responded reports whether the core replied in time; Replicas is empty otherwise.
	Responded bool
	Replicas  []wire.ReplicaStatus
}

// statusCall is a ReadStatus in flight.
type statusCall struct {
	cores []membership.Member
	// replies maps the mesh address of each core to its report.
	replies map[string][]wire.ReplicaStatus
}

// startStatus sends a status request to every known core. If this process is a core, it reads its own state directly.
func (s *Service) startStatus(ctx *kernel.Context, id uint64) {
	call := &statusCall{cores: knownCores(s.members.All(ctx.Now)), replies: map[string][]wire.ReplicaStatus{}}
	s.statusCalls[id] = call
	for _, core := range call.cores {
		if s.host != nil && core.Addr == s.members.Local().Addr {
			call.replies[core.Addr] = s.host.Status(ctx.Now).Replicas
			continue
		}
		ctx.SendTo(core.Addr, wire.KindStatusRequest, id, &wire.StatusRequest{})
	}
	ctx.AfterFor(StatusTimeout, PluginName, id)
	s.finishStatusIfComplete(ctx, id, call)
}

// knownCores returns the cores among the members, one for each address. If an earlier incarnation of a restarted core
// is still a member, only the live incarnation is returned.
func knownCores(all []membership.Member) []membership.Member {
	var cores []membership.Member
	at := map[string]int{}
	for _, member := range all {
		if member.Role != settings.RoleCore {
			continue
		}
		i, known := at[member.Addr]
		switch {
		case !known:
			at[member.Addr] = len(cores)
			cores = append(cores, member)
		case member.Live && !cores[i].Live:
			cores[i] = member
		}
	}
	return cores
}

// statusReplied records one core's reply.
func (s *Service) statusReplied(ctx *kernel.Context, id uint64, reply wire.StatusReply) {
	call := s.statusCalls[id]
	if call == nil {
		return
	}
	call.replies[reply.Addr] = reply.Replicas
	s.finishStatusIfComplete(ctx, id, call)
}

func (s *Service) finishStatusIfComplete(ctx *kernel.Context, id uint64, call *statusCall) {
	for _, core := range call.cores {
		if _, responded := call.replies[core.Addr]; !responded {
			return
		}
	}
	s.finishStatus(ctx, id, call)
}

// finishStatus answers a call with the replies received so far and removes it.
func (s *Service) finishStatus(ctx *kernel.Context, id uint64, call *statusCall) {
	delete(s.statusCalls, id)
	status := Status{Cores: make([]CoreStatus, 0, len(call.cores))}
	for _, core := range call.cores {
		replicas, responded := call.replies[core.Addr]
		status.Cores = append(status.Cores, CoreStatus{Name: core.Name, Zone: core.Zone, Addr: core.Addr, Responded: responded, Replicas: replicas})
	}
	ctx.Reply(id, status)
}

// Newest returns the newest committed version of each partition that any core has reported.
func (s Status) Newest() map[int]wire.Version {
	newest := map[int]wire.Version{}
	for _, core := range s.Cores {
		for _, replica := range core.Replicas {
			if mesh.Newer(replica.Committed, newest[replica.Partition]) {
				newest[replica.Partition] = replica.Committed
			}
		}
	}
	return newest
}
