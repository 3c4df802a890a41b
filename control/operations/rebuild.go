package operations

import (
	"fmt"

	"wallport/cluster/membership"
	"wallport/cluster/mesh"
	"wallport/control/replica"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// Rebuild makes a partition's group anew, on an operator's command, after a majority of its disks is lost. It asks
// every healthy core for the version that it has stored, fetches the newest one, and has a new set of voters
// store it under a higher term. It is answered with a [Result].
type Rebuild struct{ Partition int }

// Bounds of a rebuild.
const (
	// StepTimeout is how long the cores have for each step.
	StepTimeout = 1500 * clock.Millisecond
	// FetchTimeout is how long a core has to send the newest version.
	FetchTimeout = 8 * clock.Second
	// minTransferRate, in bytes per second, extends the last step beyond StepTimeout for a large version.
	minTransferRate = 500_000
	// minVoters is the smallest number of voters that a group is rebuilt with.
	minVoters = 3
	// termMargin is added to the highest term heard of, to exceed any that the lost replicas voted in.
	termMargin = 1000
)

// rebuildState is a rebuild in flight.
type rebuildState struct {
	partition int
	// versioned is the newest version at hand, with its body: from the mesh at first, later from a core.
	versioned wire.Versioned
	// editLog is that of the newest version which a core has stored; the mesh carries none.
	editLog []byte
	// agreed are the replicas that consented to the step in flight, and refusals the reasons of the others.
	agreed   map[string]bool
	refusals []string
	// highestTerm is the highest term that a core has told of.
	highestTerm uint64
	// newest is the newest version that a core has stored, and newestReplica the replica that has it.
	newest        wire.Version
	newestReplica string
	// fetching is set while the newest version is requested, and fetched once it has arrived.
	fetching, fetched bool
	// applying is set in the last step, in which voters are to store the version.
	applying bool
	voters   []wire.Replica
	// deadline is when the step in flight ends.
	deadline clock.Micros
}

func (s *Service) startRebuild(ctx *kernel.Context, id uint64, partition int) {
	rebuild := &rebuildState{partition: partition, agreed: map[string]bool{}}
	if versioned, ok := s.mesh.Partition(partition); ok {
		rebuild.versioned = versioned
	}
	s.rebuilds[id] = rebuild
	for _, core := range s.healthyCores(ctx.Now) {
		ctx.SendTo(core.Addr, wire.KindRebuild, id, &wire.Rebuild{Partition: partition, VersionOnly: true})
	}
	s.scheduleRebuildStep(ctx, id, rebuild, StepTimeout)
}

// scheduleRebuildStep sets the end of the step that begins now.
func (s *Service) scheduleRebuildStep(ctx *kernel.Context, id uint64, rebuild *rebuildState, delay clock.Micros) {
	rebuild.deadline = ctx.Now + delay
	ctx.AfterFor(delay, PluginName, id)
}

// rebuildTimer ends the step in flight. The timer of an earlier step, which ended before its time, has no effect.
func (s *Service) rebuildTimer(ctx *kernel.Context, id uint64, rebuild *rebuildState) {
	if ctx.Now >= rebuild.deadline {
		s.endRebuildStep(ctx, id, rebuild)
	}
}

// healthyCores returns the live cores that can store a version.
func (s *Service) healthyCores(now clock.Micros) []membership.Member {
	var cores []membership.Member
	for _, core := range s.members.Live(now, settings.RoleCore) {
		if core.Replica != "" && core.UnhealthyReason == "" && !core.Draining {
			cores = append(cores, core)
		}
	}
	return cores
}

func (s *Service) rebuildReplied(ctx *kernel.Context, id uint64, reply wire.RebuildReply) {
	rebuild := s.rebuilds[id]
	if rebuild == nil || reply.Partition != rebuild.partition {
		return
	}
	rebuild.highestTerm = max(rebuild.highestTerm, reply.Stored.Version.Term)
	if !reply.OK {
		rebuild.refusals = append(rebuild.refusals, reply.From+": "+reply.Reason)
		return
	}
	rebuild.agreed[reply.From] = true
	if mesh.Newer(reply.Stored.Version, rebuild.newest) {
		rebuild.newest, rebuild.newestReplica = reply.Stored.Version, reply.From
	}
	if rebuild.fetching && reply.From == rebuild.newestReplica && reply.Stored.Version == rebuild.newest {
		rebuild.recordFetched(reply.Stored)
		s.endRebuildStep(ctx, id, rebuild)
	}
}

// recordFetched takes the newest version that a core has stored. The mesh may have brought a newer one, but
// without an edit log.
func (rebuild *rebuildState) recordFetched(stored wire.Versioned) {
	rebuild.fetching, rebuild.fetched, rebuild.editLog = false, true, stored.EditLog
	if mesh.Newer(stored.Version, rebuild.versioned.Version) {
		rebuild.versioned = stored
	}
}

// fetchNewest requests the newest version from the core that has it stored, and reports whether it did: there may
// be none, or it has arrived already.
func (s *Service) fetchNewest(ctx *kernel.Context, id uint64, rebuild *rebuildState) bool {
	if rebuild.fetched || rebuild.newest.Term == 0 {
		return false
	}
	rebuild.fetching = true
	for _, core := range s.healthyCores(ctx.Now) {
		if core.Replica == rebuild.newestReplica {
			ctx.SendTo(core.Addr, wire.KindRebuild, id, &wire.Rebuild{Partition: rebuild.partition})
		}
	}
	s.scheduleRebuildStep(ctx, id, rebuild, FetchTimeout)
	return true
}

// rebuiltVoters selects the voters of a rebuilt group, spread over the zones: as many as wanted, or else the
// greatest odd number available. It returns nil where there are fewer than minVoters cores.
func rebuiltVoters(cores []wire.Replica, wanted int) []wire.Replica {
	n := min(max(wanted, minVoters), (len(cores)-1)|1)
	if n < minVoters {
		return nil
	}
	return replica.PickVoters(cores, n)
}

// endRebuildStep moves a rebuild on once a step has ended: from the stored versions to the fetch, from there to the
// voters' storing, and from there to the answer.
func (s *Service) endRebuildStep(ctx *kernel.Context, id uint64, rebuild *rebuildState) {
	if rebuild.applying {
		if 2*len(rebuild.agreed) > len(rebuild.voters) {
			s.finishRebuild(ctx, id, rebuild, wire.CodeOK, "")
		} else {
			s.finishRebuild(ctx, id, rebuild, wire.CodeUnknown, fmt.Sprint("too few cores hold it: ", rebuild.refusals))
		}
		return
	}
	switch {
	case len(rebuild.refusals) > 0:
		s.finishRebuild(ctx, id, rebuild, wire.CodeInvalid, fmt.Sprint(rebuild.refusals))
	case rebuild.fetching:
		s.finishRebuild(ctx, id, rebuild, wire.CodeInvalid, "the newest version did not arrive from "+rebuild.newestReplica)
	case s.fetchNewest(ctx, id, rebuild):
	default:
		s.applyRebuild(ctx, id, rebuild)
	}
}

// applyRebuild selects the voters and has them store the version.
func (s *Service) applyRebuild(ctx *kernel.Context, id uint64, rebuild *rebuildState) {
	var agreed []wire.Replica
	for _, core := range s.healthyCores(ctx.Now) {
		if rebuild.agreed[core.Replica] {
			agreed = append(agreed, wire.Replica{ID: core.Replica, Zone: core.Zone, Addr: core.Addr})
		}
	}
	rebuild.voters = rebuiltVoters(agreed, s.targetVoters)
	if len(rebuild.voters) == 0 {
		s.finishRebuild(ctx, id, rebuild, wire.CodeInvalid, "needs three live cores with sound disks")
		return
	}
	versioned := &rebuild.versioned
	versioned.Version = wire.Version{
		Partition: rebuild.partition,
		Term:      max(rebuild.highestTerm, versioned.Version.Term) + termMargin,
		Seq:       versioned.Version.Seq + 1,
	}
	versioned.Voters, versioned.PreviousVoters, versioned.EditLog = rebuild.voters, nil, rebuild.editLog
	rebuild.applying, rebuild.agreed = true, map[string]bool{}
	for _, voter := range rebuild.voters {
		ctx.SendTo(voter.Addr, wire.KindRebuild, id, &wire.Rebuild{Partition: rebuild.partition, Apply: true, Versioned: *versioned})
	}
	size := int64(len(versioned.Body) + len(versioned.EditLog))
	s.scheduleRebuildStep(ctx, id, rebuild, StepTimeout+size*clock.Second/minTransferRate)
}

// finishRebuild answers a rebuild and forgets it.
func (s *Service) finishRebuild(ctx *kernel.Context, id uint64, rebuild *rebuildState, code wire.Code, reason string) {
	delete(s.rebuilds, id)
	reply := wire.EditReply{Code: code, Version: rebuild.versioned.Version}
	if reason != "" {
		reply.Findings = []wire.Finding{{Path: fmt.Sprintf("part %d", rebuild.partition), Text: reason}}
	}
	ctx.Reply(id, Result{Reply: reply})
}
