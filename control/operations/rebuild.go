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

// Rebuild recreates a partition's group, on an operator's command, after the loss of a majority of its disks. It
// queries every healthy core for the version that the core has stored, fetches the newest one, and has a new set of
// voters store it under a higher term. It is answered with a [Result].
type Rebuild struct{ Partition int }

// Bounds of a rebuild.
const (
	// StepTimeout is the time-out for the cores' replies to the query for their versions, and for the voters' replies
	// after they have stored the version.
	StepTimeout = 1500 * clock.Millisecond
	// FetchTimeout is the time-out for the newest version to arrive from a core.
	FetchTimeout = 8 * clock.Second
	// minTransferRate, in bytes per second, extends the last step beyond StepTimeout for a large version.
	minTransferRate = 500_000
	// minVoters is the minimum number of voters of a rebuilt group.
	minVoters = 3
	// termMargin is added to the highest reported term, so that the new term exceeds every term in which the lost
	// replicas may have voted.
	termMargin = 1000
)

// rebuildState is a rebuild in flight.
type rebuildState struct {
	partition int
	// versioned is the newest version whose body is available. It comes from the mesh at first, later from a core.
	versioned wire.Versioned
	// editLog is the edit log of the newest version stored by a core; the mesh does not carry edit logs.
	editLog []byte
	// agreed has the replicas that accepted the current step, and refusals the reasons of those that refused.
	agreed   map[string]bool
	refusals []string
	// highestTerm is the highest term that a core has reported.
	highestTerm uint64
	// newest is the newest version stored by a core, and newestReplica the replica that reported it.
	newest        wire.Version
	newestReplica string
	// fetching is true while the newest version is being requested, and fetched after it has arrived.
	fetching, fetched bool
	// applying is true in the last step, in which the voters store the version.
	applying bool
	voters   []wire.Replica
	// deadline is when the current step times out.
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

// scheduleRebuildStep sets the deadline and the timer of the step that begins now.
func (s *Service) scheduleRebuildStep(ctx *kernel.Context, id uint64, rebuild *rebuildState, delay clock.Micros) {
	rebuild.deadline = ctx.Now + delay
	ctx.AfterFor(delay, PluginName, id)
}

// rebuildTimer ends the current step if its deadline has passed. It ignores the timer of an earlier step that ended
// before its deadline.
func (s *Service) rebuildTimer(ctx *kernel.Context, id uint64, rebuild *rebuildState) {
	if ctx.Now >= rebuild.deadline {
		s.endRebuildStep(ctx, id, rebuild)
	}
}

// healthyCores returns the live cores that have a replica, are healthy and are not draining.
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

// recordFetched records the fetched version, which is the newest stored by a core. If the version from the mesh is newer,
// only the edit log of the fetched version is kept, because the mesh does not carry edit logs.
func (rebuild *rebuildState) recordFetched(stored wire.Versioned) {
	rebuild.fetching, rebuild.fetched, rebuild.editLog = false, true, stored.EditLog
	if mesh.Newer(stored.Version, rebuild.versioned.Version) {
		rebuild.versioned = stored
	}
}

// fetchNewest starts the step that fetches the newest version from the core that has stored it. It returns false if no
// core has stored a version or if the newest version has already been fetched.
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

// rebuiltVoters selects the voters of a rebuilt group, spread over the zones. It selects the wanted number, or the
// largest odd number available if there are fewer cores. It returns nil if there are fewer than minVoters cores.
func rebuiltVoters(cores []wire.Replica, wanted int) []wire.Replica {
	n := min(max(wanted, minVoters), (len(cores)-1)|1)
	if n < minVoters {
		return nil
	}
	return replica.PickVoters(cores, n)
}

// endRebuildStep ends the current step of a rebuild and starts the next one. The steps are the query for the stored
// versions, the fetch of the newest version and its storage by the voters. If a step has failed, and after the last one,
// endRebuildStep answers the call.
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

// applyRebuild selects the voters and sends them the version to store.
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

// finishRebuild answers a rebuild and removes it.
func (s *Service) finishRebuild(ctx *kernel.Context, id uint64, rebuild *rebuildState, code wire.Code, reason string) {
	delete(s.rebuilds, id)
	reply := wire.EditReply{Code: code, Version: rebuild.versioned.Version}
	if reason != "" {
		reply.Findings = []wire.Finding{{Path: fmt.Sprintf("part %d", rebuild.partition), Text: reason}}
	}
	ctx.Reply(id, Result{Reply: reply})
}
