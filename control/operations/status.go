// The state of the control state's groups, as every known core tells it: asked for when an operator
// wants to know, so that it costs nothing otherwise.

package operations

import (
	"wallport/cluster/membership"
	"wallport/cluster/mesh"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// StatusTimeout is how long the cores have to tell the state of their replicas, in microseconds.
const StatusTimeout = 700_000

// StateTimedOut is the state of the replicas of a core that did not answer in time; the other states
// are the cores' own.
const StateTimedOut = "silent"

// ReadStatus asks for the state of every known core's replicas, also of those that are silent.
type ReadStatus struct{}

// Status answers ReadStatus, with one entry for each core, by name.
type Status struct{ Cores []CoreStatus }

// CoreStatus is what one core told. Replicas is empty where it did not answer in time.
type CoreStatus struct {
	Name, Zone, Addr string
	Responded        bool
	Replicas         []wire.ReplicaStatus
}

// statusCall is such a question on its way.
type statusCall struct {
	cores []membership.Member
	// replies is what the cores told, by their mesh addresses.
	replies map[string][]wire.ReplicaStatus
}

// startStatus asks every known core, this process itself without a message.
func (o *Service) startStatus(ctx *kernel.Context, id uint64) {
	read := &statusCall{cores: knownCores(o.members.All(ctx.Now)), replies: map[string][]wire.ReplicaStatus{}}
	o.statusCalls[id] = read
	for _, core := range read.cores {
		if o.host != nil && core.Addr == o.members.Local().Addr {
			read.replies[core.Addr] = o.host.Status(ctx.Now).Replicas
			continue
		}
		ctx.SendTo(core.Addr, wire.KindStatusRequest, id, &wire.StatusRequest{})
	}
	ctx.AfterFor(StatusTimeout, "operate", id)
	o.finishStatusIfComplete(ctx, id, read)
}

// knownCores are the cores among the members, one for each address: of one that has started again
// its earlier life may still be known.
func knownCores(all []membership.Member) []membership.Member {
	var cores []membership.Member
	at := map[string]int{}
	for _, row := range all {
		if row.Role != "core" {
			continue
		}
		i, known := at[row.Addr]
		switch {
		case !known:
			at[row.Addr] = len(cores)
			cores = append(cores, row)
		case row.Live && !cores[i].Live:
			cores[i] = row
		}
	}
	return cores
}

// statusReplied takes note of one core's answer.
func (o *Service) statusReplied(ctx *kernel.Context, id uint64, reply wire.StatusReply) {
	read := o.statusCalls[id]
	if read == nil {
		return
	}
	read.replies[reply.Addr] = reply.Replicas
	o.finishStatusIfComplete(ctx, id, read)
}

func (o *Service) finishStatusIfComplete(ctx *kernel.Context, id uint64, read *statusCall) {
	for _, core := range read.cores {
		if _, told := read.replies[core.Addr]; !told {
			return
		}
	}
	o.finishStatus(ctx, id, read)
}

// finishStatus answers with what was told so far.
func (o *Service) finishStatus(ctx *kernel.Context, id uint64, read *statusCall) {
	delete(o.statusCalls, id)
	status := Status{Cores: make([]CoreStatus, 0, len(read.cores))}
	for _, core := range read.cores {
		replicas, told := read.replies[core.Addr]
		status.Cores = append(status.Cores, CoreStatus{Name: core.Name, Zone: core.Zone, Addr: core.Addr, Responded: told, Replicas: replicas})
	}
	ctx.Reply(id, status)
}

// Newest gives the newest version of each partition that any core knows to be committed.
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
