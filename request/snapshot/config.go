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

// configState is the most recently decoded configuration.
type configState struct {
	version       wire.Version
	body          wire.ConfigBody
	configuration *configpb.Sheet
}

// loadConfig sets the snapshot's configuration to the current version. It decodes each version only once.
func (builder *Builder) loadConfig(ctx *kernel.Context, snap *Snapshot) {
	v, ok := builder.mesh.Partition(state.ConfigPartition)
	if !ok {
		return
	}
	if v.Version != builder.config.version {
		body, err := state.ReadConfig(v.Body)
		if err != nil {
			ctx.Log(kernel.LevelError, "config_unreadable", "error", err.Error())
			return
		}
		builder.checkVersionRises(ctx, v.Version)
		builder.config = configState{v.Version, body, state.ConfigurationOf(body)}
	}
	snap.Version, snap.Config, snap.Configuration = builder.config.version, builder.config.body, builder.config.configuration
}

// checkVersionRises reports a violation if the configuration's version decreases.
func (builder *Builder) checkVersionRises(ctx *kernel.Context, next wire.Version) {
	if was := builder.config.version; mesh.Newer(was, next) {
		ctx.ReportViolation(invariant.ConfigIncreases, fmt.Sprintf("configuration version %d.%d follows the newer version %d.%d", next.Term, next.Seq, was.Term, was.Seq))
	}
}

// complete reports whether requests may be served, that is, whether all state is present and confirmed. Once it has
// returned true, it always does: if state is lost later, only the health of the affected backends changes.
func (builder *Builder) complete(ctx *kernel.Context, snap *Snapshot) bool {
	if was := builder.current.Load(); was != nil && was.Complete {
		return true
	}
	if !builder.configSync.Confirmed(state.ConfigPartition, ctx.Now) {
		return false
	}
	if snap.Routing != nil && len(builder.backendList.Backends) > 0 {
		return true
	}
	if snap.Configuration == nil || len(snap.Indexes) == 0 || len(builder.backendList.Backends) == 0 {
		return false
	}
	anyShardMap := false
	for name, index := range snap.Indexes {
		partition := state.PartitionOf(name)
		if _, ok := builder.mesh.Partition(partition); !ok || !builder.configSync.Confirmed(partition, ctx.Now) {
			return false
		}
		anyShardMap = anyShardMap || index.ShardMap.Name != ""
	}
	// Without any shard map every request would be rejected.
	return anyShardMap
}

// awaitConfirmed builds a snapshot once the configuration counts as confirmed. After
// [configsync.UnconfirmedTimeout], that includes state that no majority has confirmed. Until then it checks
// again after awaitInterval.
func (builder *Builder) awaitConfirmed(ctx *kernel.Context) {
	switch {
	case builder.current.Load().Complete:
	case builder.configSync.Confirmed(state.ConfigPartition, ctx.Now):
		builder.build(ctx)
	default:
		ctx.After(awaitInterval, pluginName, timerAwait)
	}
}

// logUnconfirmed logs that this process starts to serve from state that no majority has confirmed.
func (builder *Builder) logUnconfirmed(ctx *kernel.Context, snap *Snapshot) {
	if was := builder.current.Load(); !snap.Complete || was != nil && was.Complete || builder.configSync.InContact() {
		return
	}
	ctx.Counts.Add("table_unconfirmed", 1)
	ctx.Log(kernel.LevelWarn, "serves_unconfirmed_state", "reason", "no reachable core is in contact with a majority", "term", snap.Version.Term, "seq", snap.Version.Seq)
}
