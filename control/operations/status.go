package operations

import (
	"wallport/cluster/membership"
	"wallport/cluster/mesh"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// StatusTimeout is how long the cores have to report the state of their replicas.
const StatusTimeout = 700 * clock.Millisecond

// StateTimedOut is shown as the state of the replicas of a core that did not reply in time. The other states
// are those that the cores report, see [wire.ReplicaStatus].
const StateTimedOut = "silent"

// ReadStatus requests the state of every known core's replicas. It is answered with a [Status], once every core has
// replied or [StatusTimeout] has passed. Nothing is collected before an operator asks.
type ReadStatus struct{}

// Status answers [ReadStatus], with one entry for each known core, ordered by name.
type Status struct{ Cores []CoreStatus }

// CoreStatus is what one core reported.
type CoreStatus struct {
	Name, Zone, Addr string
	// Responded reports whether the core replied in time; Replicas is empty otherwise.
	Responded bool
	Replicas  []wire.ReplicaStatus
}

// statusCall is a ReadStatus in flight.
type statusCall struct {
	cores []membership.Member
	// replies has what each core reported, by its mesh address.
	replies map[string][]wire.ReplicaStatus
}

// startStatus asks every known core. This process, if it is a core, is asked without a message.
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

// knownCores returns the cores among the members, one for each address. The earlier incarnation of a core that
// restarted may still be known; the live one is kept.
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

// finishStatus answers a call with the replies received so far.
func (s *Service) finishStatus(ctx *kernel.Context, id uint64, call *statusCall) {
	delete(s.statusCalls, id)
	status := Status{Cores: make([]CoreStatus, 0, len(call.cores))}
	for _, core := range call.cores {
		replicas, responded := call.replies[core.Addr]
		status.Cores = append(status.Cores, CoreStatus{Name: core.Name, Zone: core.Zone, Addr: core.Addr, Responded: responded, Replicas: replicas})
	}
	ctx.Reply(id, status)
}

// Newest returns the newest version of each partition that any core knows to be committed.
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
