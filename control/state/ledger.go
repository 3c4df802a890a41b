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
	ordersMost  = 2048
	editsMost   = 2048
	historyMost = 32
	// historyBytesMost bounds the sheets of the history together; the one in force always stays.
	historyBytesMost = 256 << 10
	zoneVersionsMost = 256
)

// legacyDigestBytes is the size of the digests that releases before 3 made.
const legacyDigestBytes = 8

// ReadLedger decodes a ledger; nil is the empty one.
func ReadLedger(encoded []byte) (wire.EditLog, error) {
	var ledger wire.EditLog
	if len(encoded) == 0 {
		return ledger, nil
	}
	err := wire.Decode(encoded, &ledger)
	return ledger, err
}

// adoptEdits moves the edits that a body of a release before 3 remembers into the ledger.
func adoptEdits(ledger *wire.EditLog, recent []wire.LegacyEdit) {
	var edits []wire.AppliedEdit
	for _, d := range recent {
		edits = append(edits, wire.AppliedEdit{EditID: d.EditID, Digest: legacyDigest(d.Sum), Term: d.Version.Term, Seq: d.Version.Seq})
	}
	ledger.Edits = newest(append(edits, ledger.Edits...), editsMost)
}

// adoptConfig moves all that a configuration of a release before 3 remembers into the ledger.
func adoptConfig(ledger *wire.EditLog, config *wire.ConfigBody) {
	adoptEdits(ledger, config.LegacyEdits)
	var orders []wire.RoutingEdit
	for _, r := range config.LegacyRevisions {
		orders = append(orders, wire.RoutingEdit{Digest: legacyDigest(r.Sum), Term: r.Version.Term, Seq: r.Version.Seq})
	}
	ledger.RoutingEdits = newest(append(orders, ledger.RoutingEdits...), ordersMost)
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
	history = newest(history, historyMost)
	size := 0
	for i := len(history) - 1; i >= 0; i-- {
		size += len(history[i].Config)
		if size > historyBytesMost && i < len(history)-1 {
			return history[i+1:]
		}
	}
	return history
}

// orderTaken gives the version that took exactly this order.
func orderTaken(ledger *wire.EditLog, order *routingpb.RoutingEdit) (wire.Version, bool) {
	digest := routing.Digest(order)
	legacy := legacyDigest(routing.LegacyDigest(order))
	for _, taken := range ledger.RoutingEdits {
		known := digest[:]
		if len(taken.Digest) == legacyDigestBytes {
			known = legacy
		}
		if bytes.Equal(taken.Digest, known) {
			return wire.Version{Partition: Config, Term: taken.Term, Seq: taken.Seq}, true
		}
	}
	return wire.Version{}, false
}

func rememberOrder(ledger *wire.EditLog, order *routingpb.RoutingEdit, at wire.Version) {
	digest := routing.Digest(order)
	taken := wire.RoutingEdit{Digest: digest[:], Term: at.Term, Seq: at.Seq}
	ledger.RoutingEdits = newest(append(ledger.RoutingEdits, taken), ordersMost)
}

// editTaken answers an edit whose id was taken before.
func editTaken(ledger *wire.EditLog, edit *wire.Edit) (wire.EditReply, bool) {
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

func rememberEdit(ledger *wire.EditLog, edit *wire.Edit, at wire.Version) {
	if edit.EditID == "" {
		return
	}
	taken := wire.AppliedEdit{EditID: edit.EditID, Digest: editDigest(edit), Term: at.Term, Seq: at.Seq}
	ledger.Edits = newest(append(ledger.Edits, taken), editsMost)
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
			return wire.Version{Partition: Config, Term: v.Term, Seq: v.Seq}
		}
	}
	return ledger.ZoneFloor
}

// setZoneVersion notes an order about a zone. The version of a zone that is forgotten becomes the
// floor, which every zone that is not listed has: an order bound to what was before stays stale.
func setZoneVersion(ledger *wire.EditLog, zone string, at wire.Version) {
	zones := slices.DeleteFunc(slices.Clone(ledger.Zones), func(v wire.ZoneVersion) bool { return v.Zone == zone })
	zones = append(zones, wire.ZoneVersion{Zone: zone, Term: at.Term, Seq: at.Seq})
	for len(zones) > zoneVersionsMost {
		ledger.ZoneFloor = wire.Version{Partition: Config, Term: zones[0].Term, Seq: zones[0].Seq}
		zones = zones[1:]
	}
	ledger.Zones = zones
}
