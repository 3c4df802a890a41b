// The state of the control state's groups, as every known core tells it: asked for when an operator
// wants to know, so that it costs nothing otherwise.

package operations

import (
	"wallport/cluster/membership"
	"wallport/cluster/mesh"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// StatusWithin is how long the cores have to tell the state of their replicas, in microseconds.
const StatusWithin = 700_000

// StateSilent is the state of the replicas of a core that did not answer in time; the other states
// are the cores' own.
const StateSilent = "silent"

// ReadStatus asks for the state of every known core's replicas, also of those that are silent.
type ReadStatus struct{}

// Status answers ReadStatus, with one entry for each core, by name.
type Status struct{ Cores []CoreStatus }

// CoreStatus is what one core told. Replicas is empty where it did not answer in time.
type CoreStatus struct {
	Name, Zone, Addr string
	Answered         bool
	Replicas         []wire.ReplicaStatus
}

// statusRead is such a question on its way.
type statusRead struct {
	asked []membership.Member
	// told is what the cores told, by their mesh addresses.
	told map[string][]wire.ReplicaStatus
}

// readStatus asks every known core, this process itself without a message.
func (o *Operate) readStatus(ctx *kernel.Context, id uint64) {
	read := &statusRead{asked: knownCores(o.members.All(ctx.Now)), told: map[string][]wire.ReplicaStatus{}}
	o.statusReads[id] = read
	for _, core := range read.asked {
		if o.host != nil && core.Addr == o.members.Local().Addr {
			read.told[core.Addr] = o.host.Status(ctx.Now).Replicas
			continue
		}
		ctx.SendTo(core.Addr, wire.KindStatusRequest, id, &wire.StatusRequest{})
	}
	ctx.AfterFor(StatusWithin, "operate", id)
	o.endStatusIfWhole(ctx, id, read)
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
func (o *Operate) statusReplied(ctx *kernel.Context, id uint64, reply wire.StatusReply) {
	read := o.statusReads[id]
	if read == nil {
		return
	}
	read.told[reply.Addr] = reply.Replicas
	o.endStatusIfWhole(ctx, id, read)
}

func (o *Operate) endStatusIfWhole(ctx *kernel.Context, id uint64, read *statusRead) {
	for _, core := range read.asked {
		if _, told := read.told[core.Addr]; !told {
			return
		}
	}
	o.endStatus(ctx, id, read)
}

// endStatus answers with what was told so far.
func (o *Operate) endStatus(ctx *kernel.Context, id uint64, read *statusRead) {
	delete(o.statusReads, id)
	status := Status{Cores: make([]CoreStatus, 0, len(read.asked))}
	for _, core := range read.asked {
		replicas, told := read.told[core.Addr]
		status.Cores = append(status.Cores, CoreStatus{Name: core.Name, Zone: core.Zone, Addr: core.Addr, Answered: told, Replicas: replicas})
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
