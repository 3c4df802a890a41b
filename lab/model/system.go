package model

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"

	"wallport/runtime/clock"
)

// Budget bounds how often each kind of fault and choice may occur in one schedule.
type Budget struct {
	Elapses, Losses, Doubles, Delays, Crashes, LostDisks, Isolations, Freezes, Announces, Stops, Calls int
	// Holds is the number of times a source may be paused, or AllInterleavings.
	Holds int
}

// message is a frame in flight; the receiver answers on connection.
type message struct {
	connection uint64
	// request reports that the frame was sent to an address, not over a particular connection.
	request bool
	data    []byte
	digest  digest
	frame   frame
}

// disk is the synced content of one machine's disk.
type disk struct {
	files map[string][]byte
	sum   digest
}

func newDisk(files map[string][]byte) *disk {
	return &disk{files: files, sum: digestOf(filesBytes(files))}
}

// with returns a copy of the disk after one write.
func (d *disk) with(w pendingWrite) *disk {
	files := maps.Clone(d.files)
	files[w.file] = w.data
	return newDisk(files)
}

// without returns a copy of the disk without the given files.
func (d *disk) without(names []string) *disk {
	files := maps.Clone(d.files)
	for _, name := range names {
		delete(files, name)
	}
	return newDisk(files)
}

func filesBytes(files map[string][]byte) []byte {
	var b []byte
	for _, name := range slices.Sorted(maps.Keys(files)) {
		b = append(b, name...)
		b = appendNumber(b, int64(len(files[name])))
		b = append(b, files[name]...)
	}
	return b
}

// link is one step of a schedule, linked to the previous step.
type link struct {
	before *link
	action Action
}

// everyReplica is the value of system.touched after a step that did not affect exactly one replica.
const everyReplica = -1

// system is one state of the whole system. States share their unchanged parts.
type system struct {
	now       clock.Micros
	processes []*process
	disks     []*disk
	// starts is the number of starts of each replica's process.
	starts []int
	// frozenAt is the time at which each replica was frozen, 0 if it is running.
	frozenAt []clock.Micros
	// queues holds the messages in flight between each pair of replicas, in order, at index from*n+to.
	queues [][]*message
	calls  []call
	// order lists the nonempty sources in round-robin order.
	order []uint8
	// pausedSources has a bit for each paused source.
	pausedSources uint64
	// isolated has a bit for each replica that is partitioned from the others.
	isolated uint64
	// touched is the replica that the last step affected, or everyReplica.
	touched int
	left    Budget
	record  *record
	path    *link
	depth   int
}

func (s *system) clone() *system {
	c := *s
	c.processes = slices.Clone(s.processes)
	c.disks = slices.Clone(s.disks)
	c.starts = slices.Clone(s.starts)
	c.frozenAt = slices.Clone(s.frozenAt)
	c.queues = slices.Clone(s.queues)
	c.calls = slices.Clone(s.calls)
	c.order = slices.Clone(s.order)
	c.depth++
	return &c
}

// key returns the canonical hash of a state. States with equal keys have the same continuations.
func (s *system) key() digest {
	h := sha256.New()
	var b []byte
	b = appendNumber(b, s.now)
	for i, p := range s.processes {
		b = appendNumber(b, int64(p.id))
		b = append(b, s.disks[i].sum[:]...)
		b = appendNumber(b, s.frozenAt[i])
	}
	for _, q := range s.queues {
		b = appendNumber(b, int64(len(q)))
		for _, m := range q {
			b = append(b, m.digest[:]...)
		}
	}
	for _, c := range s.calls {
		b = append(b, byte(c.status), byte(c.sent))
		b = appendNumber(b, int64(c.open))
	}
	b = append(binary.AppendUvarint(binary.AppendUvarint(b, s.pausedSources), s.isolated), byte(s.touched))
	h.Write(append(b, s.order...))
	binary.Write(h, binary.LittleEndian, s.left.counts())
	h.Write(s.record.sum[:])
	var d digest
	copy(d[:], h.Sum(nil))
	return d
}

func (b Budget) counts() []int32 {
	return []int32{
		int32(b.Elapses), int32(b.Losses), int32(b.Doubles), int32(b.Delays), int32(b.Crashes), int32(b.LostDisks),
		int32(b.Isolations), int32(b.Freezes), int32(b.Announces), int32(b.Stops), int32(b.Calls), int32(b.Holds),
	}
}

// schedule returns the actions that led to a state.
func (s *system) schedule() []Action {
	var actions []Action
	for l := s.path; l != nil; l = l.before {
		actions = append(actions, l.action)
	}
	slices.Reverse(actions)
	return actions
}
