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
	// DiskCheckInterval is the time between two test writes to a disk that has a problem.
	DiskCheckInterval = 200 * clock.Millisecond
	// SlowDiskAfter is the duration after which a completed write marks the disk as slow, and a write in progress
	// marks it as stalled.
	SlowDiskAfter = 300 * clock.Millisecond
	// VersionsKept is the number of versions of each partition that are kept on disk.
	VersionsKept = 3
)

// Names of the files on the disk, and the formats and parts of names that show what a file contains.
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

// diskCondition is the problem of the disk: one of the constants, or the text of a write error. It is shown to
// operators, and published in this process's member entry.
type diskCondition string

const (
	diskHealthy   diskCondition = ""
	diskIsSlow    diskCondition = "slow"
	diskIsStalled diskCondition = "stalled"
	diskIsDamaged diskCondition = "damaged"
)

// writeDone is called when a file is synced (err is empty) or could not be written.
type writeDone func(ctx *kernel.Context, err string)

// disk is the state of the replica's disk and of the writes in progress.
type disk struct {
	// diskDamaged is set at the start if the content of the disk cannot be trusted; this replica then takes no part in
	// any group. futureFormat is the error for a file that was written by a newer release.
	diskDamaged  bool
	futureFormat string
	diskProblem  diskCondition
	// onWritten and writeStartedAt describe the writes in progress, by key.
	lastWriteID    uint64
	onWritten      map[string]writeDone
	writeStartedAt map[string]clock.Micros
	// checkingDisk is set while a test write is in progress; diskCheckedAt is when the last one began.
	checkingDisk  bool
	diskCheckedAt clock.Micros
}

// load reads the files that were on the disk when the process started.
func (h *Host) load(ctx *kernel.Context) {
	for _, name := range sortedKeys(h.kernel.Boot.Files) {
		h.loadFile(ctx, name, h.kernel.Boot.Files[name])
	}
	for _, g := range h.groups {
		if g.accepted.Version.Term > g.votedTerm {
			// A leader of that term sent the version, so the term has a leader already and must not be granted to any
			// candidate: an empty votedFor matches no candidate.
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

// loadFile loads one of the files that were on the disk at the start.
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
		// An incomplete version file was never acknowledged and can be skipped. Every other file is required.
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
		// Releases before 2 did not store the proposer, which was always the first voter.
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

// identify creates the replica's identity on an empty disk. The identity is not used before it is synced.
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

// save writes a file and calls done when it is synced or the write has failed.
func (h *Host) save(ctx *kernel.Context, file string, content []byte, done writeDone) {
	h.lastWriteID++
	key := fmt.Sprintf("w%d", h.lastWriteID)
	h.onWritten[key], h.writeStartedAt[key] = done, ctx.Now
	ctx.Counts.Add("disk_writes", 1)
	ctx.Write(pluginName, key, file, diskfile.Pack(content))
}

// remove deletes a file without waiting for the result.
func (h *Host) remove(ctx *kernel.Context, file string) { ctx.Write(pluginName, "", file, nil) }

// handleWritten completes a write and updates the condition of the disk from its duration and error.
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

// setDiskProblem records, logs and publishes a change of the disk's condition.
func (h *Host) setDiskProblem(ctx *kernel.Context, problem diskCondition) {
	if h.diskProblem == problem {
		return
	}
	ctx.Log(kernel.LevelWarn, "disk_condition", "was", string(h.diskProblem), "is", string(problem))
	h.diskProblem = problem
	h.publishMember()
}

// checkDisk detects stalled writes, and issues a test write to a disk that has a problem.
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

// sortedKeys returns the keys of a map in order, so that steps do not depend on the iteration order of maps.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
