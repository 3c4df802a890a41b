package replica

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"wallport/cluster/mesh"
	"wallport/runtime/clock"
	"wallport/runtime/diskfile"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

const (
	// DiskCheckInterval is how often a disk with a problem is tried again.
	DiskCheckInterval = 200 * clock.Millisecond
	// SlowDiskAfter is how long a write may take before the disk counts as slow, or as stalled while it lasts.
	SlowDiskAfter = 300 * clock.Millisecond
	// VersionsKept is how many versions of each partition stay on the disk.
	VersionsKept = 3
)

// Names of files.
const (
	fileReplicaID = "seat"
	fileBootstrap = "formation"
	fileDiskCheck = "probe"
	voteFormat    = "part-%d.promise"
	voteSuffix    = ".promise"
	versionFormat = "part-%d.stamp-%012d-%012d"
	versionInfix  = ".stamp-"
)

func voteFile(partition int) string { return fmt.Sprintf(voteFormat, partition) }

func versionFile(v wire.Version) string {
	return fmt.Sprintf(versionFormat, v.Partition, v.Term, v.Seq)
}

// diskCondition is what is wrong with the disk: one of the constants, or the text of a write's error. It is
// shown to operators, and to the other processes in this one's member entry.
type diskCondition string

const (
	diskHealthy   diskCondition = ""
	diskIsSlow    diskCondition = "slow"
	diskIsStalled diskCondition = "stalled"
	diskIsDamaged diskCondition = "damaged"
)

// writeDone is called when a file is synced (err is empty) or could not be written.
type writeDone func(ctx *kernel.Context, err string)

// disk is the state of the replica's disk and of the writes under way.
type disk struct {
	// diskDamaged is set at the start, when what is on the disk can't be trusted: this replica then
	// takes part in nothing. futureFormat says so of a file of a newer release.
	diskDamaged  bool
	futureFormat string
	diskProblem  diskCondition
	// onWritten and writeStartedAt hold the writes under way by their key.
	lastWriteID    uint64
	onWritten      map[string]writeDone
	writeStartedAt map[string]clock.Micros
	// checkingDisk is set while the disk is tried again; diskCheckedAt is when that began last.
	checkingDisk  bool
	diskCheckedAt clock.Micros
}

// load reads the disk as it was at the start of the process.
func (h *Host) load(ctx *kernel.Context) {
	for _, name := range sortedKeys(h.kernel.Boot.Files) {
		h.loadFile(ctx, name, h.kernel.Boot.Files[name])
	}
	for _, g := range h.groups {
		if g.accepted.Version.Term > g.votedTerm {
			// A leader of that term brought the version, so the term is taken: no candidate may have it, and
			// an empty votedFor matches none.
			g.votedTerm, g.votedFor = g.accepted.Version.Term, ""
		}
		h.bootstrapped = h.bootstrapped || g.accepted.Version.Term > 0
	}
	if h.bootstrap.Commit {
		h.adoptBootstrapVoters()
	}
	if h.replicaID == "" && len(h.kernel.Boot.Files) > 0 {
		h.diskDamaged = true
	}
}

// loadFile takes one file that was on the disk at the start.
func (h *Host) loadFile(ctx *kernel.Context, name string, packed []byte) {
	isVersion := strings.Contains(name, versionInfix)
	content, err := diskfile.Unpack(packed)
	var future diskfile.FutureFormatError
	if errors.As(err, &future) {
		h.diskDamaged, h.futureFormat = true, future.Error()
		return
	}
	if err != nil {
		ctx.Counts.Add("disk_torn", 1)
		ctx.Log(kernel.LevelWarn, "disk_torn", "file", name)
		// An incomplete version was never acknowledged, so it can be skipped. Any other file is needed.
		h.diskDamaged = h.diskDamaged || !isVersion
		return
	}
	switch {
	case name == fileReplicaID:
		h.replicaID = string(content)
	case name == fileBootstrap:
		h.loadBootstrap(content)
	case isVersion:
		h.loadVersion(content)
	case strings.HasSuffix(name, voteSuffix):
		h.loadVote(name, content)
	}
}

func (h *Host) loadBootstrap(content []byte) {
	h.diskDamaged = wire.Decode(content, &h.bootstrap) != nil || h.diskDamaged
	h.bootstrapped, h.consentSynced = h.bootstrap.Commit, true
	if len(h.bootstrap.Voters) > 0 && h.bootstrap.Proposer.ID == "" {
		// Releases before 2 did not store who proposed: it was the first voter.
		h.bootstrap.Proposer = h.bootstrap.Voters[0]
	}
}

func (h *Host) loadVersion(content []byte) {
	var v wire.Versioned
	if wire.Decode(content, &v) != nil || v.Version.Partition < 0 || v.Version.Partition >= Partitions {
		h.diskDamaged = true
		return
	}
	g := h.groups[v.Version.Partition]
	g.versionFiles = append(g.versionFiles, v.Version)
	if mesh.Newer(v.Version, g.accepted.Version) {
		g.accepted = v
	}
}

func (h *Host) loadVote(name string, content []byte) {
	var partition int
	var vote wire.Vote
	_, err := fmt.Sscanf(name, voteFormat, &partition)
	if err != nil || partition < 0 || partition >= Partitions || wire.Decode(content, &vote) != nil {
		h.diskDamaged = true
		return
	}
	h.groups[partition].votedTerm, h.groups[partition].votedFor = vote.Term, vote.From
}

// identify makes the identity of the replica on an empty disk. There is none before it is synced.
func (h *Host) identify(ctx *kernel.Context) {
	id := fmt.Sprintf("%016x", ctx.Rand.Uint64())
	h.checkingDisk = true
	h.save(ctx, fileReplicaID, []byte(id), func(ctx *kernel.Context, err string) {
		h.checkingDisk, h.diskCheckedAt = false, ctx.Now
		if err == "" {
			h.replicaID = id
			h.publishMember()
		}
	})
}

// save writes a file and calls done when it is synced or has failed.
func (h *Host) save(ctx *kernel.Context, file string, content []byte, done writeDone) {
	h.lastWriteID++
	key := fmt.Sprintf("w%d", h.lastWriteID)
	h.onWritten[key], h.writeStartedAt[key] = done, ctx.Now
	ctx.Counts.Add("disk_writes", 1)
	ctx.Write(pluginName, key, file, diskfile.Pack(content))
}

// remove removes a file, and does not wait for it.
func (h *Host) remove(ctx *kernel.Context, file string) { ctx.Write(pluginName, "", file, nil) }

// handleWritten ends a write, and judges the disk by how it went.
func (h *Host) handleWritten(ctx *kernel.Context, v kernel.Written) {
	done := h.onWritten[v.Key]
	slow := ctx.Now-h.writeStartedAt[v.Key] > SlowDiskAfter
	delete(h.onWritten, v.Key)
	delete(h.writeStartedAt, v.Key)
	switch {
	case v.Err != "":
		ctx.Counts.Add("disk_errors", 1)
		h.setDiskProblem(ctx, diskCondition(v.Err))
	case slow:
		h.setDiskProblem(ctx, diskIsSlow)
	default:
		h.setDiskProblem(ctx, diskHealthy)
	}
	if done != nil {
		done(ctx, v.Err)
	}
}

// setDiskProblem logs and publishes a change of the condition of the disk.
func (h *Host) setDiskProblem(ctx *kernel.Context, problem diskCondition) {
	if h.diskProblem == problem {
		return
	}
	ctx.Log(kernel.LevelWarn, "disk_condition", "was", string(h.diskProblem), "is", string(problem))
	h.diskProblem = problem
	h.publishMember()
}

// checkDisk notices a write that has stalled, and tries a disk with a problem again.
func (h *Host) checkDisk(ctx *kernel.Context) {
	for _, startedAt := range h.writeStartedAt {
		if ctx.Now-startedAt > SlowDiskAfter {
			h.setDiskProblem(ctx, diskIsStalled)
		}
	}
	if h.diskProblem == diskHealthy || h.checkingDisk || len(h.onWritten) > 0 || ctx.Now-h.diskCheckedAt < DiskCheckInterval {
		return
	}
	h.checkingDisk, h.diskCheckedAt = true, ctx.Now
	if h.replicaID == "" {
		h.identify(ctx)
		return
	}
	h.save(ctx, fileDiskCheck, []byte(fileDiskCheck), func(*kernel.Context, string) { h.checkingDisk = false })
}

// sortedKeys lists the keys of a map in order, so that steps do not depend on the order of maps.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
