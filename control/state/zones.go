package state

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"wallport/runtime/wire"
)

// Bounds of what edits of zones may leave behind.
const (
	maxZoneNameBytes = 128
	maxDrainedZones  = 128
	maxZoneVersions  = 256
)

// editZone drains a zone or restores it. The edit is bound to the version that last took one about that
// zone, as it was read after the operator's request arrived: a late duplicate is bound to an older version
// and is stale.
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
	// An edit that changes nothing is acknowledged as well: from then on, whatever was sent before it is stale.
	setZoneVersion(editLog, edit.Name, next)
	return wire.EditReply{Code: wire.CodeOK}
}

// checkZone lists what makes an edit of a zone invalid.
func checkZone(body *wire.ConfigBody, zone string, draining bool) []wire.Finding {
	var text string
	switch {
	case zone == "":
		text = "is needed"
	case len(zone) > maxZoneNameBytes:
		text = fmt.Sprintf("is longer than %d bytes", maxZoneNameBytes)
	case !utf8.ValidString(zone) || strings.ContainsFunc(zone, unicode.IsControl):
		text = "is not a name in plain text"
	case draining && len(body.DrainedZones) >= maxDrainedZones && !slices.Contains(body.DrainedZones, zone):
		text = fmt.Sprintf("%d zones are drained already", maxDrainedZones)
	default:
		return nil
	}
	return []wire.Finding{{Path: "zone", Text: text}}
}

// zoneVersion returns the version that last took an edit of a zone.
func zoneVersion(editLog *wire.EditLog, zone string) wire.Version {
	for _, v := range editLog.Zones {
		if v.Zone == zone {
			return wire.Version{Partition: ConfigPartition, Term: v.Term, Seq: v.Seq}
		}
	}
	return editLog.ZoneFloor
}

// setZoneVersion records the version of an edit of a zone. The version of the oldest zone that no longer
// fits becomes the floor, which is the version of every zone that is not listed: an edit bound to what
// was before stays stale.
func setZoneVersion(editLog *wire.EditLog, zone string, version wire.Version) {
	zones := slices.DeleteFunc(slices.Clone(editLog.Zones), func(v wire.ZoneVersion) bool { return v.Zone == zone })
	zones = append(zones, wire.ZoneVersion{Zone: zone, Term: version.Term, Seq: version.Seq})
	for len(zones) > maxZoneVersions {
		editLog.ZoneFloor = wire.Version{Partition: ConfigPartition, Term: zones[0].Term, Seq: zones[0].Seq}
		zones = zones[1:]
	}
	editLog.Zones = zones
}
