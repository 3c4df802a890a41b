package state

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"

	"wallport/api/routingpb"
	"wallport/control/routing"
	"wallport/runtime/wire"
)

// Bounds of an edit log, in entries. The largest deployments have 530 edits a day.
const (
	maxRoutingEdits = 2048
	maxEdits        = 2048
	maxHistory      = 32
	// maxHistoryBytes bounds the total size of the configurations in the history. The configuration in force is always kept.
	maxHistoryBytes = 256 << 10
)

// legacyDigestBytes is the size of the digests that releases before 3 recorded.
const legacyDigestBytes = 8

// ReadEditLog decodes an edit log; nil decodes to an empty one.
func ReadEditLog(encoded []byte) (wire.EditLog, error) {
	var editLog wire.EditLog
	if len(encoded) == 0 {
		return editLog, nil
	}
	err := wire.Decode(encoded, &editLog)
	return editLog, err
}

// migrateEdits adds the edits that a release before 3 recorded in the body to the edit log, as its oldest entries.
func migrateEdits(editLog *wire.EditLog, legacy []wire.LegacyEdit) {
	var edits []wire.AppliedEdit
	for _, edit := range legacy {
		edits = append(edits, wire.AppliedEdit{EditID: edit.EditID, Digest: legacyDigest(edit.Sum), Term: edit.Version.Term, Seq: edit.Version.Seq})
	}
	editLog.Edits = newest(append(edits, editLog.Edits...), maxEdits)
}

// migrateConfig moves the edits, routing edits and earlier configurations that a release before 3 recorded in
// the configuration body to the edit log.
func migrateConfig(editLog *wire.EditLog, body *wire.ConfigBody) {
	migrateEdits(editLog, body.LegacyEdits)
	var edits []wire.RoutingEdit
	for _, revision := range body.LegacyRevisions {
		edits = append(edits, wire.RoutingEdit{Digest: legacyDigest(revision.Sum), Term: revision.Version.Term, Seq: revision.Version.Seq})
	}
	editLog.RoutingEdits = newest(append(edits, editLog.RoutingEdits...), maxRoutingEdits)
	editLog.History = boundHistory(append(slices.Clone(body.LegacyHistory), editLog.History...))
	body.LegacyEdits, body.LegacyRevisions, body.LegacyHistory = nil, nil, nil
}

// newest returns the last limit entries of a list, or all of them if there are fewer.
func newest[T any](entries []T, limit int) []T {
	return entries[max(0, len(entries)-limit):]
}

// boundHistory returns the newest entries of a history, within maxHistory and maxHistoryBytes. The last entry,
// the configuration in force, is always kept.
func boundHistory(history []wire.PastConfig) []wire.PastConfig {
	history = newest(history, maxHistory)
	size := 0
	for i := len(history) - 1; i >= 0; i-- {
		size += len(history[i].Config)
		if size > maxHistoryBytes && i < len(history)-1 {
			return history[i+1:]
		}
	}
	return history
}

// findRoutingEdit returns the version in which an identical edit of the routing table was applied, if any.
func findRoutingEdit(editLog *wire.EditLog, edit *routingpb.RoutingEdit) (wire.Version, bool) {
	digest := routing.Digest(edit)
	legacy := legacyDigest(routing.LegacyDigest(edit))
	for _, applied := range editLog.RoutingEdits {
		expected := digest[:]
		if len(applied.Digest) == legacyDigestBytes {
			expected = legacy
		}
		if bytes.Equal(applied.Digest, expected) {
			return wire.Version{Partition: ConfigPartition, Term: applied.Term, Seq: applied.Seq}, true
		}
	}
	return wire.Version{}, false
}

func recordRoutingEdit(editLog *wire.EditLog, edit *routingpb.RoutingEdit, version wire.Version) {
	digest := routing.Digest(edit)
	applied := wire.RoutingEdit{Digest: digest[:], Term: version.Term, Seq: version.Seq}
	editLog.RoutingEdits = newest(append(editLog.RoutingEdits, applied), maxRoutingEdits)
}

// findRepeatedEdit looks up an edit's id among the applied edits. If the id was used, it returns the reply:
// wire.CodeOK with the version in which the edit was applied, or wire.CodeConflict if the id belongs to a
// different edit. An edit without an id never counts as repeated.
func findRepeatedEdit(editLog *wire.EditLog, edit *wire.Edit) (reply wire.EditReply, repeated bool) {
	if edit.EditID == "" {
		return wire.EditReply{}, false
	}
	i := slices.IndexFunc(editLog.Edits, func(applied wire.AppliedEdit) bool { return applied.EditID == edit.EditID })
	if i < 0 {
		return wire.EditReply{}, false
	}
	applied := editLog.Edits[i]
	digest := editDigest(edit)
	if len(applied.Digest) == legacyDigestBytes {
		digest = legacyDigest(legacyEditSum(edit))
	}
	if !bytes.Equal(applied.Digest, digest) {
		return wire.EditReply{Code: wire.CodeConflict, Findings: []wire.Finding{{Path: "Edit-Id", Text: "was used for another edit"}}}, true
	}
	version := wire.Version{Partition: edit.Partition, Term: applied.Term, Seq: applied.Seq}
	return wire.EditReply{Code: wire.CodeOK, Version: version}, true
}

func recordEdit(editLog *wire.EditLog, edit *wire.Edit, version wire.Version) {
	if edit.EditID == "" {
		return
	}
	applied := wire.AppliedEdit{EditID: edit.EditID, Digest: editDigest(edit), Term: version.Term, Seq: version.Seq}
	editLog.Edits = newest(append(editLog.Edits, applied), maxEdits)
}

// editDigest returns the digest of an edit's operation, name and body. The base is left out, because it may
// differ from one attempt to the next.
func editDigest(edit *wire.Edit) []byte {
	h := sha256.New()
	for _, text := range []string{edit.Op, edit.Name} {
		fmt.Fprintf(h, "%d:%s", len(text), text)
	}
	h.Write(edit.Body)
	return h.Sum(nil)
}

// legacyEditSum returns the digest by which releases before 3 identified an edit.
func legacyEditSum(edit *wire.Edit) uint64 {
	h := fnv.New64a()
	for _, text := range []string{edit.Op, edit.Name} {
		h.Write([]byte(text))
		h.Write([]byte{0})
	}
	h.Write(edit.Body)
	return h.Sum64()
}

func legacyDigest(sum uint64) []byte { return binary.BigEndian.AppendUint64(nil, sum) }
