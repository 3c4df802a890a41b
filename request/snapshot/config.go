// The configuration as a snapshot shows it, and whether it may be served from.

package snapshot

import (
	"fmt"

	"wallport/api/configpb"
	"wallport/cluster/mesh"
	"wallport/control/state"
	"wallport/runtime/invariant"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// configState is the configuration as it was last read.
type configState struct {
	version       wire.Version
	body          wire.ConfigBody
	configuration *configpb.Sheet
}

// loadConfig fills in the configuration in force, read once for each version.
func (b *Table) loadConfig(ctx *kernel.Context, c *Snapshot) {
	v, ok := b.mesh.Partition(state.ConfigPartition)
	if !ok {
		return
	}
	if v.Version != b.config.version {
		body, err := state.ReadConfig(v.Body)
		if err != nil {
			ctx.Log(kernel.LevelError, "config_unreadable", "err", err.Error())
			return
		}
		b.checkVersionRises(ctx, v.Version)
		b.config = configState{v.Version, body, state.ConfigurationOf(body)}
	}
	c.Version, c.Config, c.Configuration = b.config.version, b.config.body, b.config.configuration
}

// checkVersionRises sees that the configuration in force never goes back.
func (b *Table) checkVersionRises(ctx *kernel.Context, next wire.Version) {
	if was := b.config.version; mesh.Newer(was, next) {
		ctx.ReportViolation(invariant.ConfigIncreases, fmt.Sprintf("version %d.%d after %d.%d", next.Term, next.Seq, was.Term, was.Seq))
	}
}

// complete reports whether the table may be served from: it is all there, and confirmed. Once it may,
// it stays so: what is lost later is judged server by server.
func (b *Table) complete(ctx *kernel.Context, c *Snapshot) bool {
	if was := b.current.Load(); was != nil && was.Complete {
		return true
	}
	if !b.configSync.Confirmed(state.ConfigPartition, ctx.Now) {
		return false
	}
	if c.Routing != nil && len(b.listing.Backends) > 0 {
		return true
	}
	if c.Configuration == nil || len(c.Indexes) == 0 || len(b.listing.Backends) == 0 {
		return false
	}
	cut := false
	for name, x := range c.Indexes {
		partition := state.PartitionOf(name)
		if _, ok := b.mesh.Partition(partition); !ok || !b.configSync.Confirmed(partition, ctx.Now) {
			return false
		}
		cut = cut || x.Cut.Name != ""
	}
	// With no index cut yet there is nothing that a caller could be told but no.
	return cut
}

// awaitConfirmed has the table built once state that no majority confirmed may be served from; see configsync.UnconfirmedAfter.
func (b *Table) awaitConfirmed(ctx *kernel.Context) {
	switch {
	case b.current.Load().Complete:
	case b.configSync.Confirmed(state.ConfigPartition, ctx.Now):
		b.build(ctx)
	default:
		ctx.After(awaitInterval, "table", awaitTimer)
	}
}

// logUnconfirmed tells that this process begins to serve from state that no majority confirmed.
func (b *Table) logUnconfirmed(ctx *kernel.Context, c *Snapshot) {
	if was := b.current.Load(); !c.Complete || was != nil && was.Complete || b.configSync.InContact() {
		return
	}
	ctx.Counts.Add("table_unconfirmed", 1)
	ctx.Log(kernel.LevelWarn, "serves_unconfirmed_state", "why", "no core that is reached is in contact with a majority", "term", c.Version.Term, "seq", c.Version.Seq)
}

// The timer of a process that waits for confirmed state.
const (
	awaitTimer    = "await"
	awaitInterval = 250_000
)
