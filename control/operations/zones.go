// Which zones there are, as far as this process knows.

package operations

import (
	"slices"

	"wallport/runtime/wire"
)

// CodeUnknownZone refuses to drain a zone in which there is nothing. Nothing was sent.
const CodeUnknownZone wire.Code = "unknown_zone"

// knowsZone reports whether a zone may exist: the settings name it, a member or a listed backend is
// in it, or this process has not heard of a whole list yet and cannot tell.
func (o *Service) knowsZone(zone string, now int64) bool {
	if _, named := o.zoneRegions[zone]; named {
		return true
	}
	for _, member := range o.members.All(now) {
		if member.Zone == zone {
			return true
		}
	}
	known, whole := false, false
	o.mesh.Each("listing", func(e *wire.Entry, _ string) {
		var listing wire.BackendList
		if wire.Decode(e.Body, &listing) != nil {
			return
		}
		whole = whole || listing.Complete && len(listing.Backends) > 0
		known = known || slices.ContainsFunc(listing.Backends, func(s wire.Backend) bool { return s.Zone == zone })
	})
	return known || !whole
}

func unknownZone(zone string) Result {
	return Result{Reply: wire.EditReply{Code: CodeUnknownZone, Findings: []wire.Finding{{Path: "zone", Text: "nothing that is known here is in zone " + zone}}}}
}
