// A replica's disk: each file is synced before anything is said that rests on it.
// A disk that is full, slow or stalled is told of, and tried again.

package replica

import (
	"fmt"

	"wallport/runtime/diskfile"
	"wallport/runtime/kernel"
)

// identify gives an empty disk its replica; it is none before that is synced.
func (h *Host) identify(ctx *kernel.Context) {
	id := fmt.Sprintf("%016x", ctx.Rand.Uint64())
	h.checkingDisk = true
	h.save(ctx, "seat", []byte(id), func(ctx *kernel.Context, err string) {
		h.checkingDisk, h.diskCheckedAt = false, ctx.Now
		if err == "" {
			h.replicaID = id
			h.publishMember()
		}
	})
}

func (h *Host) setDiskProblem(ctx *kernel.Context, problem string) {
	if h.diskProblem == problem {
		return
	}
	ctx.Log(kernel.LevelWarn, "disk_condition", "was", h.diskProblem, "is", problem)
	h.diskProblem = problem
	h.publishMember()
}

// save writes a file and calls back when it is synced or has failed.
func (h *Host) save(ctx *kernel.Context, file string, content []byte, done func(ctx *kernel.Context, err string)) {
	h.lastWriteID++
	key := fmt.Sprintf("w%d", h.lastWriteID)
	h.onWritten[key], h.writeStartedAt[key] = done, ctx.Now
	ctx.Counts.Add("disk_writes", 1)
	ctx.Write("seats", key, file, diskfile.Pack(content))
}

func (h *Host) remove(ctx *kernel.Context, file string) { ctx.Write("seats", "", file, nil) }

func (h *Host) handleWritten(ctx *kernel.Context, v kernel.Written) {
	done := h.onWritten[v.Key]
	slow := ctx.Now-h.writeStartedAt[v.Key] > SlowDiskAfter
	delete(h.onWritten, v.Key)
	delete(h.writeStartedAt, v.Key)
	switch {
	case v.Err != "":
		ctx.Counts.Add("disk_errors", 1)
		h.setDiskProblem(ctx, v.Err)
	case slow:
		h.setDiskProblem(ctx, "slow")
	default:
		h.setDiskProblem(ctx, "")
	}
	if done != nil {
		done(ctx, v.Err)
	}
}

// checkDisk notices a stalled disk, and tries a sick one again.
func (h *Host) checkDisk(ctx *kernel.Context) {
	for _, at := range h.writeStartedAt {
		if ctx.Now-at > SlowDiskAfter {
			h.setDiskProblem(ctx, "stalled")
		}
	}
	if h.diskProblem != "" && !h.checkingDisk && len(h.onWritten) == 0 && ctx.Now-h.diskCheckedAt >= DiskCheckInterval {
		h.checkingDisk, h.diskCheckedAt = true, ctx.Now
		if h.replicaID == "" {
			h.identify(ctx)
			return
		}
		h.save(ctx, "probe", []byte("probe"), func(*kernel.Context, string) { h.checkingDisk = false })
	}
}
