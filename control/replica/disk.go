// A replica's disk: each file is synced before anything is said that rests on it.
// A disk that is full, slow or stalled is told of, and tried again.
package replica

import (
	"fmt"

	"wallport/runtime/diskfile"
	"wallport/runtime/kernel"
)

// identify gives an empty disk its replica; it is none before that is synced.
func (s *Host) identify(t *kernel.Context) {
	id := fmt.Sprintf("%016x", t.Rand.Uint64())
	s.probing = true
	s.save(t, "seat", []byte(id), func(t *kernel.Context, err string) {
		s.probing, s.probeAt = false, t.Now
		if err == "" {
			s.replicaID = id
			s.publishMember()
		}
	})
}

func (s *Host) setSick(t *kernel.Context, why string) {
	if s.diskProblem == why {
		return
	}
	t.Log(1, "disk_condition", "was", s.diskProblem, "is", why)
	s.diskProblem = why
	s.publishMember()
}

// save writes a file and calls back when it is synced or has failed.
func (s *Host) save(t *kernel.Context, file string, content []byte, done func(t *kernel.Context, err string)) {
	s.nextWrite++
	key := fmt.Sprintf("w%d", s.nextWrite)
	s.writes[key], s.writeSince[key] = done, t.Now
	t.Counts.Add("disk_writes", 1)
	t.Write("seats", key, file, diskfile.Pack(content))
}

func (s *Host) remove(t *kernel.Context, file string) { t.Write("seats", "", file, nil) }

func (s *Host) written(t *kernel.Context, v kernel.Written) {
	done := s.writes[v.Key]
	slow := t.Now-s.writeSince[v.Key] > SlowDiskAfter
	delete(s.writes, v.Key)
	delete(s.writeSince, v.Key)
	switch {
	case v.Err != "":
		t.Counts.Add("disk_errors", 1)
		s.setSick(t, v.Err)
	case slow:
		s.setSick(t, "slow")
	default:
		s.setSick(t, "")
	}
	if done != nil {
		done(t, v.Err)
	}
}

// checkDisk notices a stalled disk, and tries a sick one again.
func (s *Host) checkDisk(t *kernel.Context) {
	for _, at := range s.writeSince {
		if t.Now-at > SlowDiskAfter {
			s.setSick(t, "stalled")
		}
	}
	if s.diskProblem != "" && !s.probing && len(s.writes) == 0 && t.Now-s.probeAt >= DiskProbeInterval {
		s.probing, s.probeAt = true, t.Now
		if s.replicaID == "" {
			s.identify(t)
			return
		}
		s.save(t, "probe", []byte("probe"), func(*kernel.Context, string) { s.probing = false })
	}
}
