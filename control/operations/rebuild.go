// The node's side of rebuilding a partition's group: ask every live core which version it
// holds, fetch the newest one where this node lacks it, and have three cores hold it.

package operations

import (
	"fmt"

	"wallport/cluster/membership"
	"wallport/cluster/mesh"
	"wallport/control/replica"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Rebuild is an operator's word to make a partition's group anew.
type Rebuild struct{ Partition int }

// Figures of rebuilding.
const (
	// StepTimeout is how long the cores have for each step, FetchTimeout how long one has to send the
	// newest version.
	StepTimeout  = 1_500_000
	FetchTimeout = 8_000_000
	// minTransferRate, in bytes a second, is what a large version may take on its way to the cores
	// that are to hold it, beyond StepTimeout.
	minTransferRate = 500_000
)

type rebuildState struct {
	partition int
	applying  bool
	versioned wire.Versioned
	// editLog is that of the newest version that a core holds; what the mesh brought has none.
	editLog     []byte
	voters      []wire.Replica
	agreed      map[string]bool
	refusals    []string
	highestTerm uint64
	// newest is the newest version that a core holds, and holder that core's replica. fetching is
	// that the version was asked for, fetched that it came.
	newest            wire.Version
	newestReplica     string
	fetching, fetched bool
	// deadline is when the step under way ends.
	deadline int64
}

func (o *Service) startRebuild(ctx *kernel.Context, id uint64, partition int) {
	r := &rebuildState{partition: partition, agreed: map[string]bool{}}
	if v, ok := o.mesh.Partition(partition); ok {
		r.versioned = v
	}
	o.rebuilds[id] = r
	for _, c := range o.healthyCores(ctx.Now) {
		ctx.SendTo(c.Addr, wire.KindRebuild, id, &wire.Rebuild{Partition: partition, VersionOnly: true})
	}
	o.scheduleRebuildStep(ctx, id, r, StepTimeout)
}

// scheduleRebuildStep has the step under way end after a while.
func (o *Service) scheduleRebuildStep(ctx *kernel.Context, id uint64, r *rebuildState, after int64) {
	r.deadline = ctx.Now + after
	ctx.AfterFor(after, "operate", id)
}

// rebuildTimer ends the step under way, unless the timer was that of an earlier one.
func (o *Service) rebuildTimer(ctx *kernel.Context, id uint64, r *rebuildState) {
	if ctx.Now >= r.deadline {
		o.endRebuildStep(ctx, id, r)
	}
}

func (o *Service) healthyCores(now int64) []membership.Member {
	var out []membership.Member
	for _, c := range o.members.Live(now, "core") {
		if c.Replica != "" && c.UnhealthyReason == "" && !c.Draining {
			out = append(out, c)
		}
	}
	return out
}

func (o *Service) rebuildReplied(ctx *kernel.Context, id uint64, m wire.RebuildReply) {
	r := o.rebuilds[id]
	if r == nil || m.Partition != r.partition {
		return
	}
	r.highestTerm = max(r.highestTerm, m.Stored.Version.Term)
	if !m.OK {
		r.refusals = append(r.refusals, m.From+": "+m.Reason)
		return
	}
	r.agreed[m.From] = true
	if mesh.Newer(m.Stored.Version, r.newest) {
		r.newest, r.newestReplica = m.Stored.Version, m.From
	}
	if r.fetching && m.From == r.newestReplica && m.Stored.Version == r.newest {
		r.fetching, r.fetched, r.editLog = false, true, m.Stored.EditLog
		if mesh.Newer(m.Stored.Version, r.versioned.Version) {
			r.versioned = m.Stored
		}
		o.endRebuildStep(ctx, id, r)
	}
}

// fetchNewest asks the core that holds the newest version for it; false where none is to be had or it came.
// What the mesh brought may be newer, but has no ledger.
func (o *Service) fetchNewest(ctx *kernel.Context, id uint64, r *rebuildState) bool {
	if r.fetched || r.newest.Term == 0 {
		return false
	}
	r.fetching = true
	for _, c := range o.healthyCores(ctx.Now) {
		if c.Replica == r.newestReplica {
			ctx.SendTo(c.Addr, wire.KindRebuild, id, &wire.Rebuild{Partition: r.partition})
		}
	}
	o.scheduleRebuildStep(ctx, id, r, FetchTimeout)
	return true
}

// minVoters is how many cores a group is rebuilt on at least.
const minVoters = 3

// rebuiltVoters picks the voters of a rebuilt group: as many as wanted, or else the greatest odd
// number that there is, spread over the zones; none where there are too few cores.
func rebuiltVoters(cores []wire.Replica, wanted int) []wire.Replica {
	n := min(max(wanted, minVoters), (len(cores)-1)|1)
	if n < minVoters {
		return nil
	}
	return replica.PickVoters(cores, n)
}

// endRebuildStep ends one of the steps.
func (o *Service) endRebuildStep(ctx *kernel.Context, id uint64, r *rebuildState) {
	end := func(code wire.Code, text string) {
		delete(o.rebuilds, id)
		reply := wire.EditReply{Code: code, Version: r.versioned.Version}
		if text != "" {
			reply.Findings = []wire.Finding{{Path: fmt.Sprintf("part %d", r.partition), Text: text}}
		}
		ctx.Reply(id, Result{Reply: reply})
	}
	if r.applying {
		if 2*len(r.agreed) > len(r.voters) {
			end(wire.CodeOK, "")
		} else {
			end(wire.CodeUnknown, fmt.Sprint("too few cores hold it: ", r.refusals))
		}
		return
	}
	switch {
	case len(r.refusals) > 0:
		end(wire.CodeInvalid, fmt.Sprint(r.refusals))
		return
	case r.fetching:
		end(wire.CodeInvalid, "the newest version did not arrive from "+r.newestReplica)
		return
	case o.fetchNewest(ctx, id, r):
		return
	}
	var agreed []wire.Replica
	for _, c := range o.healthyCores(ctx.Now) {
		if r.agreed[c.Replica] {
			agreed = append(agreed, wire.Replica{ID: c.Replica, Zone: c.Zone, Addr: c.Addr})
		}
	}
	r.voters = rebuiltVoters(agreed, o.targetVoters)
	if len(r.voters) == 0 {
		end(wire.CodeInvalid, "needs three live cores with sound disks")
		return
	}
	// A term past anything that the lost replicas can have promised among few of them.
	r.versioned.Version = wire.Version{Partition: r.partition, Term: max(r.highestTerm, r.versioned.Version.Term) + 1000, Seq: r.versioned.Version.Seq + 1}
	r.versioned.Voters, r.versioned.PreviousVoters, r.versioned.EditLog = r.voters, nil, r.editLog
	r.applying, r.agreed = true, map[string]bool{}
	for _, c := range r.voters {
		ctx.SendTo(c.Addr, wire.KindRebuild, id, &wire.Rebuild{Partition: r.partition, Apply: true, Versioned: r.versioned})
	}
	o.scheduleRebuildStep(ctx, id, r, StepTimeout+int64(len(r.versioned.Body)+len(r.versioned.EditLog))*1_000_000/minTransferRate)
}
