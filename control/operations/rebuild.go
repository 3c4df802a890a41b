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
	// AskedFor is how long the cores have for each step, FetchFor how long one has to send the
	// newest version.
	AskedFor = 1_500_000
	FetchFor = 8_000_000
	// slowestHold, in bytes a second, is what a large version may take on its way to the cores
	// that are to hold it, beyond AskedFor.
	slowestHold = 500_000
)

type rebuilding struct {
	partition int
	doing     bool
	version   wire.Versioned
	// ledger is that of the newest version that a core holds; what the mesh brought has none.
	ledger  []byte
	picked  []wire.Replica
	yes     map[string]bool
	refused []string
	top     uint64
	// newest is the newest version that a core holds, and holder that core's replica. fetching is
	// that the version was asked for, fetched that it came.
	newest            wire.Version
	holder            string
	fetching, fetched bool
	// dueAt is when the step under way ends.
	dueAt int64
}

func (o *Operate) rebuild(ctx *kernel.Context, id uint64, partition int) {
	r := &rebuilding{partition: partition, yes: map[string]bool{}}
	if v, ok := o.mesh.Partition(partition); ok {
		r.version = v
	}
	o.rebuilds[id] = r
	for _, c := range o.cores(ctx.Now) {
		ctx.SendTo(c.Addr, wire.KindRebuild, id, &wire.Rebuild{Partition: partition, VersionOnly: true})
	}
	o.rebuildDue(ctx, id, r, AskedFor)
}

// rebuildDue has the step under way end after a while.
func (o *Operate) rebuildDue(ctx *kernel.Context, id uint64, r *rebuilding, after int64) {
	r.dueAt = ctx.Now + after
	ctx.AfterFor(after, "operate", id)
}

// rebuildTick ends the step under way, unless the timer was that of an earlier one.
func (o *Operate) rebuildTick(ctx *kernel.Context, id uint64, r *rebuilding) {
	if ctx.Now >= r.dueAt {
		o.rebuildStep(ctx, id, r)
	}
}

func (o *Operate) cores(now int64) []membership.Member {
	var out []membership.Member
	for _, c := range o.members.Live(now, "core") {
		if c.Replica != "" && c.UnhealthyReason == "" && !c.Draining {
			out = append(out, c)
		}
	}
	return out
}

func (o *Operate) rebuildReplied(ctx *kernel.Context, id uint64, m wire.RebuildReply) {
	r := o.rebuilds[id]
	if r == nil || m.Partition != r.partition {
		return
	}
	r.top = max(r.top, m.Stored.Version.Term)
	if !m.OK {
		r.refused = append(r.refused, m.From+": "+m.Reason)
		return
	}
	r.yes[m.From] = true
	if mesh.Newer(m.Stored.Version, r.newest) {
		r.newest, r.holder = m.Stored.Version, m.From
	}
	if r.fetching && m.From == r.holder && m.Stored.Version == r.newest {
		r.fetching, r.fetched, r.ledger = false, true, m.Stored.EditLog
		if mesh.Newer(m.Stored.Version, r.version.Version) {
			r.version = m.Stored
		}
		o.rebuildStep(ctx, id, r)
	}
}

// fetch asks the core that holds the newest version for it; false where none is to be had or it came.
// What the mesh brought may be newer, but has no ledger.
func (o *Operate) fetch(ctx *kernel.Context, id uint64, r *rebuilding) bool {
	if r.fetched || r.newest.Term == 0 {
		return false
	}
	r.fetching = true
	for _, c := range o.cores(ctx.Now) {
		if c.Replica == r.holder {
			ctx.SendTo(c.Addr, wire.KindRebuild, id, &wire.Rebuild{Partition: r.partition})
		}
	}
	o.rebuildDue(ctx, id, r, FetchFor)
	return true
}

// fewestVoters is how many cores a group is rebuilt on at least.
const fewestVoters = 3

// rebuiltVoters picks the voters of a rebuilt group: as many as wanted, or else the greatest odd
// number that there is, spread over the zones; none where there are too few cores.
func rebuiltVoters(cores []wire.Replica, wanted int) []wire.Replica {
	n := min(max(wanted, fewestVoters), (len(cores)-1)|1)
	if n < fewestVoters {
		return nil
	}
	return replica.PickVoters(cores, n)
}

// rebuildStep ends one of the steps.
func (o *Operate) rebuildStep(ctx *kernel.Context, id uint64, r *rebuilding) {
	end := func(code, text string) {
		delete(o.rebuilds, id)
		reply := wire.EditReply{Code: code, Version: r.version.Version}
		if text != "" {
			reply.Findings = []wire.Finding{{Path: fmt.Sprintf("part %d", r.partition), Text: text}}
		}
		ctx.Reply(id, Result{Reply: reply})
	}
	if r.doing {
		if 2*len(r.yes) > len(r.picked) {
			end("ok", "")
		} else {
			end("unknown", fmt.Sprint("too few cores hold it: ", r.refused))
		}
		return
	}
	switch {
	case len(r.refused) > 0:
		end("invalid", fmt.Sprint(r.refused))
		return
	case r.fetching:
		end("invalid", "the newest version did not arrive from "+r.holder)
		return
	case o.fetch(ctx, id, r):
		return
	}
	var agreed []wire.Replica
	for _, c := range o.cores(ctx.Now) {
		if r.yes[c.Replica] {
			agreed = append(agreed, wire.Replica{ID: c.Replica, Zone: c.Zone, Addr: c.Addr})
		}
	}
	r.picked = rebuiltVoters(agreed, o.wantedVoters)
	if len(r.picked) == 0 {
		end("invalid", "needs three live cores with sound disks")
		return
	}
	// A term past anything that the lost replicas can have promised among few of them.
	r.version.Version = wire.Version{Partition: r.partition, Term: max(r.top, r.version.Version.Term) + 1000, Seq: r.version.Version.Seq + 1}
	r.version.Voters, r.version.PreviousVoters, r.version.EditLog = r.picked, nil, r.ledger
	r.doing, r.yes = true, map[string]bool{}
	for _, c := range r.picked {
		ctx.SendTo(c.Addr, wire.KindRebuild, id, &wire.Rebuild{Partition: r.partition, Apply: true, Versioned: r.version})
	}
	o.rebuildDue(ctx, id, r, AskedFor+int64(len(r.version.Body)+len(r.version.EditLog))*1_000_000/slowestHold)
}
