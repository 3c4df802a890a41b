package state

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"wallport/runtime/wire"
)

// Bounds of the state that edits of zones create.
const (
	maxZoneNameBytes = 128
	maxDrainedZones  = 128
	maxZoneVersions  = 256
)

// editZone drains or restores a zone. The base of the edit is the version of the last edit of that zone, read
// after the operator's request arrived. A delayed duplicate therefore has an older base and is refused as stale.
func editZone(body *wire.ConfigBody, editLog *wire.EditLog, next wire.Version, edit *wire.Edit) wire.EditReply {
	draining := edit.Op == wire.OpDrainZone
	if found := checkZone(body, edit.Name, draining); len(found) > 0 {
		return wire.EditReply{Code: wire.CodeInvalid, Findings: found}
	}
	if edit.Base != zoneVersion(editLog, edit.Name) {
		return wire.EditReply{Code: wire.CodeStale}
	}
	before := body.DrainedZones
	body.DrainedZones = slices.DeleteFunc(slices.Clone(before), func(zone string) bool { return zone == edit.Name })
	if draining {
		body.DrainedZones = append(body.DrainedZones, edit.Name)
		slices.Sort(body.DrainedZones)
	}
	// An edit that changes nothing is recorded too, so that earlier edits of the zone that arrive later are stale.
	setZoneVersion(editLog, edit.Name, next)
	return wire.EditReply{Code: wire.CodeOK}
}

// checkZone returns a finding if an edit of a zone is invalid, otherwise nil.
func checkZone(body *wire.ConfigBody, zone string, draining bool) []wire.Finding {
	var text string
	switch {
	case zone == "":
		text = "is needed"
	case len(zone) > maxZoneNameBytes:
		text = fmt.Sprintf("is longer than %d bytes", maxZoneNameBytes)
	case !utf8.ValidString(zone) || strings.ContainsFunc(zone, unicode.IsControl):
		text = "must be valid UTF-8 without control characters"
	case draining && len(body.DrainedZones) >= maxDrainedZones && !slices.Contains(body.DrainedZones, zone):
		text = fmt.Sprintf("%d zones are drained already", maxDrainedZones)
	default:
		return nil
	}
	return []wire.Finding{{Path: "zone", Text: text}}
}

// zoneVersion returns the version of the last edit of a zone, or the floor (see setZoneVersion) if the zone is not listed.
func zoneVersion(editLog *wire.EditLog, zone string) wire.Version {
	for _, v := range editLog.Zones {
		if v.Zone == zone {
			return wire.Version{Partition: ConfigPartition, Term: v.Term, Seq: v.Seq}
		}
	}
	return editLog.ZoneFloor
}

// setZoneVersion records the version of an edit of a zone. Only the maxZoneVersions last edited zones are listed.
// The version of a zone that drops off the list becomes the floor, which counts as the version of every zone
// that is not listed, so that an edit with an older base remains stale.
func setZoneVersion(editLog *wire.EditLog, zone string, version wire.Version) {
	zones := slices.DeleteFunc(slices.Clone(editLog.Zones), func(v wire.ZoneVersion) bool { return v.Zone == zone })
	zones = append(zones, wire.ZoneVersion{Zone: zone, Term: version.Term, Seq: version.Seq})
	for len(zones) > maxZoneVersions {
		editLog.ZoneFloor = wire.Version{Partition: ConfigPartition, Term: zones[0].Term, Seq: zones[0].Seq}
		zones = zones[1:]
	}
	editLog.Zones = zones
}
