// A replica's disk: each file is synced before anything is said that rests on it.
// A disk that is full, slow or stalled is told of, and tried again.

package replica

import (
	"fmt"

	"wallport/runtime/diskfile"
	"wallport/runtime/kernel"
)

// identify gives an empty disk its replica; it is none before that is synced.
func (s *Host) identify(ctx *kernel.Context) {
	id := fmt.Sprintf("%016x", ctx.Rand.Uint64())
	s.probing = true
	s.save(ctx, "seat", []byte(id), func(ctx *kernel.Context, err string) {
		s.probing, s.probeAt = false, ctx.Now
		if err == "" {
			s.replicaID = id
			s.publishMember()
		}
	})
}

func (s *Host) setSick(ctx *kernel.Context, why string) {
	if s.diskProblem == why {
		return
	}
	ctx.Log(kernel.LevelWarn, "disk_condition", "was", s.diskProblem, "is", why)
	s.diskProblem = why
	s.publishMember()
}

// save writes a file and calls back when it is synced or has failed.
func (s *Host) save(ctx *kernel.Context, file string, content []byte, done func(ctx *kernel.Context, err string)) {
	s.nextWrite++
	key := fmt.Sprintf("w%d", s.nextWrite)
	s.writes[key], s.writeSince[key] = done, ctx.Now
	ctx.Counts.Add("disk_writes", 1)
	ctx.Write("seats", key, file, diskfile.Pack(content))
}

func (s *Host) remove(ctx *kernel.Context, file string) { ctx.Write("seats", "", file, nil) }

func (s *Host) written(ctx *kernel.Context, v kernel.Written) {
	done := s.writes[v.Key]
	slow := ctx.Now-s.writeSince[v.Key] > SlowDiskAfter
	delete(s.writes, v.Key)
	delete(s.writeSince, v.Key)
	switch {
	case v.Err != "":
		ctx.Counts.Add("disk_errors", 1)
		s.setSick(ctx, v.Err)
	case slow:
		s.setSick(ctx, "slow")
	default:
		s.setSick(ctx, "")
	}
	if done != nil {
		done(ctx, v.Err)
	}
}

// checkDisk notices a stalled disk, and tries a sick one again.
func (s *Host) checkDisk(ctx *kernel.Context) {
	for _, at := range s.writeSince {
		if ctx.Now-at > SlowDiskAfter {
			s.setSick(ctx, "stalled")
		}
	}
	if s.diskProblem != "" && !s.probing && len(s.writes) == 0 && ctx.Now-s.probeAt >= DiskProbeInterval {
		s.probing, s.probeAt = true, ctx.Now
		if s.replicaID == "" {
			s.identify(ctx)
			return
		}
		s.save(ctx, "probe", []byte("probe"), func(*kernel.Context, string) { s.probing = false })
	}
}
