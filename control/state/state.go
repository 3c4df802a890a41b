package state

import (
	"hash/fnv"

	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// Partitions is the number of partitions.
const Partitions = 5

// ConfigPartition is the partition that holds the configuration; all others hold indexes.
const ConfigPartition = 0

// PartitionOf returns the partition that holds an index or the lease of a singleton task. The mapping must not
// change between releases, because stored data is located by it.
func PartitionOf(name string) int {
	h := fnv.New32a()
	h.Write([]byte(name))
	return 1 + int(h.Sum32()%(Partitions-1))
}

// Value is the replicated value of a partition: the encoded body, which is distributed to every process,
// and the encoded edit log, which only the replicas keep.
type Value struct{ Body, EditLog []byte }

// ApplyFunc validates an edit against a partition's value and applies it. next is the version of the resulting
// value. If applied is false, after is the unchanged value. A repeated edit is not applied again: its reply
// has wire.CodeOK and the version in which the edit was first applied.
type ApplyFunc func(value Value, next wire.Version, edit *wire.Edit) (after Value, reply wire.EditReply, applied bool)

// TickFunc updates a body when time has passed or a lease has a new holder. wallTime is the leader's corrected
// time since the Unix epoch, and leaseHolders maps each singleton task to the node that holds its lease.
// changed reports whether after is a new body to propose.
type TickFunc func(body []byte, next wire.Version, wallTime clock.Micros, leaseHolders map[string]string) (after []byte, changed bool)

// machine is the decoded body of a partition.
type machine interface {
	// migrate moves the edits and earlier configurations that releases before 3 kept in the body to the edit log.
	migrate(editLog *wire.EditLog)
	// apply validates and applies an edit whose id is not in the edit log yet.
	apply(edit *wire.Edit, editLog *wire.EditLog, next wire.Version) (reply wire.EditReply, applied bool)
	encode() []byte
}

// ApplyFuncOf returns the function that applies edits to a partition.
func ApplyFuncOf(partition int) ApplyFunc {
	if partition == ConfigPartition {
		return applyConfigEdit
	}
	return applyIndexEdit
}

// TickFuncOf returns the function that updates a partition as time passes.
func TickFuncOf(partition int) TickFunc {
	if partition == ConfigPartition {
		return tickConfig
	}
	return tickIndex
}

func applyConfigEdit(value Value, next wire.Version, edit *wire.Edit) (Value, wire.EditReply, bool) {
	body, err := ReadConfig(value.Body)
	return applyEdit(&configMachine{body}, err, value, next, edit)
}

func applyIndexEdit(value Value, next wire.Version, edit *wire.Edit) (Value, wire.EditReply, bool) {
	body, err := ReadIndex(value.Body)
	return applyEdit(&indexMachine{body}, err, value, next, edit)
}

// applyEdit applies an edit to a decoded body. bodyErr is the error that decoding the body returned.
func applyEdit(body machine, bodyErr error, value Value, next wire.Version, edit *wire.Edit) (Value, wire.EditReply, bool) {
	if bodyErr != nil {
		return value, invalidEdit("body", "the part's body cannot be read: "+bodyErr.Error()), false
	}
	editLog, err := ReadEditLog(value.EditLog)
	if err != nil {
		return value, invalidEdit("ledger", "cannot be read: "+err.Error()), false
	}
	body.migrate(&editLog)
	if reply, repeated := findRepeatedEdit(&editLog, edit); repeated {
		return value, reply, false
	}
	reply, applied := body.apply(edit, &editLog, next)
	if !applied {
		return value, reply, false
	}
	// A repeated routing edit is recognized by its digest, which covers its base and revision (editRouting).
	if edit.Op != wire.OpPutRouting {
		recordEdit(&editLog, edit, next)
	}
	return Value{Body: body.encode(), EditLog: wire.Encode(&editLog)}, reply, true
}

func invalidEdit(path, text string) wire.EditReply {
	return wire.EditReply{Code: wire.CodeInvalid, Findings: []wire.Finding{{Path: path, Text: text}}}
}

func unknownOp(op string) wire.EditReply { return invalidEdit("op", "no such operation: "+op) }
