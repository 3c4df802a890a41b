// The ledger: what is known of orders that were taken. A repeat is told from a
// new order by it, and a late order about a zone from a timely one.

package state

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"

	"wallport/api/routingpb"
	"wallport/control/routing"
	"wallport/runtime/wire"
)

// Bounds of a ledger. A day of the largest deployments has 530 changes.
const (
	maxRoutingEdits = 2048
	maxEdits        = 2048
	maxHistory      = 32
	// maxHistoryBytes bounds the sheets of the history together; the one in force always stays.
	maxHistoryBytes = 256 << 10
	maxZoneVersions = 256
)

// legacyDigestBytes is the size of the digests that releases before 3 made.
const legacyDigestBytes = 8

// ReadEditLog decodes a ledger; nil is the empty one.
func ReadEditLog(encoded []byte) (wire.EditLog, error) {
	var ledger wire.EditLog
	if len(encoded) == 0 {
		return ledger, nil
	}
	err := wire.Decode(encoded, &ledger)
	return ledger, err
}

// migrateEdits moves the edits that a body of a release before 3 remembers into the ledger.
func migrateEdits(ledger *wire.EditLog, recent []wire.LegacyEdit) {
	var edits []wire.AppliedEdit
	for _, d := range recent {
		edits = append(edits, wire.AppliedEdit{EditID: d.EditID, Digest: legacyDigest(d.Sum), Term: d.Version.Term, Seq: d.Version.Seq})
	}
	ledger.Edits = newest(append(edits, ledger.Edits...), maxEdits)
}

// migrateConfig moves all that a configuration of a release before 3 remembers into the ledger.
func migrateConfig(ledger *wire.EditLog, config *wire.ConfigBody) {
	migrateEdits(ledger, config.LegacyEdits)
	var orders []wire.RoutingEdit
	for _, r := range config.LegacyRevisions {
		orders = append(orders, wire.RoutingEdit{Digest: legacyDigest(r.Sum), Term: r.Version.Term, Seq: r.Version.Seq})
	}
	ledger.RoutingEdits = newest(append(orders, ledger.RoutingEdits...), maxRoutingEdits)
	ledger.History = boundHistory(append(slices.Clone(config.LegacyHistory), ledger.History...))
	config.LegacyEdits, config.LegacyRevisions, config.LegacyHistory = nil, nil, nil
}

func legacyDigest(sum uint64) []byte { return binary.BigEndian.AppendUint64(nil, sum) }

// newest keeps the last entries of a list, as many as may be kept.
func newest[T any](entries []T, most int) []T {
	return entries[max(0, len(entries)-most):]
}

// boundHistory keeps the newest sheets, within the bounds of their number and size.
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

// findRoutingEdit gives the version that took exactly this order.
func findRoutingEdit(ledger *wire.EditLog, order *routingpb.RoutingEdit) (wire.Version, bool) {
	digest := routing.Digest(order)
	legacy := legacyDigest(routing.LegacyDigest(order))
	for _, taken := range ledger.RoutingEdits {
		known := digest[:]
		if len(taken.Digest) == legacyDigestBytes {
			known = legacy
		}
		if bytes.Equal(taken.Digest, known) {
			return wire.Version{Partition: ConfigPartition, Term: taken.Term, Seq: taken.Seq}, true
		}
	}
	return wire.Version{}, false
}

func recordRoutingEdit(ledger *wire.EditLog, order *routingpb.RoutingEdit, at wire.Version) {
	digest := routing.Digest(order)
	taken := wire.RoutingEdit{Digest: digest[:], Term: at.Term, Seq: at.Seq}
	ledger.RoutingEdits = newest(append(ledger.RoutingEdits, taken), maxRoutingEdits)
}

// findRepeatedEdit answers an edit whose id was taken before.
func findRepeatedEdit(ledger *wire.EditLog, edit *wire.Edit) (wire.EditReply, bool) {
	if edit.EditID == "" {
		return wire.EditReply{}, false
	}
	i := slices.IndexFunc(ledger.Edits, func(taken wire.AppliedEdit) bool { return taken.EditID == edit.EditID })
	if i < 0 {
		return wire.EditReply{}, false
	}
	taken := ledger.Edits[i]
	digest := editDigest(edit)
	if len(taken.Digest) == legacyDigestBytes {
		digest = legacyDigest(legacyEditSum(edit))
	}
	if !bytes.Equal(taken.Digest, digest) {
		return wire.EditReply{Code: "conflict", Findings: []wire.Finding{{Path: "Edit-Id", Text: "was used for another edit"}}}, true
	}
	return wire.EditReply{Code: "ok", Version: wire.Version{Partition: edit.Partition, Term: taken.Term, Seq: taken.Seq}}, true
}

func recordEdit(ledger *wire.EditLog, edit *wire.Edit, at wire.Version) {
	if edit.EditID == "" {
		return
	}
	taken := wire.AppliedEdit{EditID: edit.EditID, Digest: editDigest(edit), Term: at.Term, Seq: at.Seq}
	ledger.Edits = newest(append(ledger.Edits, taken), maxEdits)
}

// editDigest sums up what an edit does; what it is bound to may differ from one sending to the next.
func editDigest(edit *wire.Edit) []byte {
	h := sha256.New()
	for _, text := range []string{edit.Op, edit.Name} {
		fmt.Fprintf(h, "%d:%s", len(text), text)
	}
	h.Write(edit.Body)
	return h.Sum(nil)
}

// zoneVersion is the version that last took an order about a zone.
func zoneVersion(ledger *wire.EditLog, zone string) wire.Version {
	for _, v := range ledger.Zones {
		if v.Zone == zone {
			return wire.Version{Partition: ConfigPartition, Term: v.Term, Seq: v.Seq}
		}
	}
	return ledger.ZoneFloor
}

// setZoneVersion notes an order about a zone. The version of a zone that is forgotten becomes the
// floor, which every zone that is not listed has: an order bound to what was before stays stale.
func setZoneVersion(ledger *wire.EditLog, zone string, at wire.Version) {
	zones := slices.DeleteFunc(slices.Clone(ledger.Zones), func(v wire.ZoneVersion) bool { return v.Zone == zone })
	zones = append(zones, wire.ZoneVersion{Zone: zone, Term: at.Term, Seq: at.Seq})
	for len(zones) > maxZoneVersions {
		ledger.ZoneFloor = wire.Version{Partition: ConfigPartition, Term: zones[0].Term, Seq: zones[0].Seq}
		zones = zones[1:]
	}
	ledger.Zones = zones
}
