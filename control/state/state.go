// Package state says how the control state is cut into partitions, and judges the
// edits that a partition's leader batches into its next version. Judging is a pure
// function of the value and the edit; what time changes is the clockwork's.
package state

import (
	"hash/fnv"

	"wallport/runtime/wire"
)

// Partitions is the number of partitions: partition 0 holds the configuration, the others the indexes.
const Partitions = 5

// ConfigPartition is the part of the configuration.
const ConfigPartition = 0

// PartitionOf is the partition that holds an index or another named service.
func PartitionOf(name string) int {
	h := fnv.New32a()
	h.Write([]byte(name))
	return 1 + int(h.Sum32()%(Partitions-1))
}

// Value is what a partition's replicas agree on: the body, which everyone reads, and the ledger,
// which stays with them.
type Value struct{ Body, EditLog []byte }

// ApplyFunc decides one edit: the value after it, the reply, and whether it took.
type ApplyFunc func(value Value, next wire.Version, e *wire.Edit) (after Value, r wire.EditReply, took bool)

// TickFunc changes a body because time passed or duties moved.
type TickFunc func(body []byte, next wire.Version, wall int64, holders map[string]string) (after []byte, due bool)

// ApplyFuncOf gives the judge of a partition.
func ApplyFuncOf(partition int) ApplyFunc {
	if partition == ConfigPartition {
		return applyConfigEdit
	}
	return applyIndexEdit
}

// TickFuncOf gives the clockwork of a partition.
func TickFuncOf(partition int) TickFunc {
	if partition == ConfigPartition {
		return tickConfig
	}
	return tickIndex
}

// legacyEditSum is the digest that releases before 3 remembered of an edit.
func legacyEditSum(edit *wire.Edit) uint64 {
	h := fnv.New64a()
	for _, text := range []string{edit.Op, edit.Name} {
		h.Write([]byte(text))
		h.Write([]byte{0})
	}
	h.Write(edit.Body)
	return h.Sum64()
}

func invalidEdit(place, text string) wire.EditReply {
	return wire.EditReply{Code: "invalid", Findings: []wire.Finding{{Path: place, Text: text}}}
}
