package operations

import (
	"slices"

	"wallport/cluster/mesh"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// CodeUnknownZone is the reply code for a drain command for an unknown zone. The command is refused without being sent.
const CodeUnknownZone wire.Code = "unknown_zone"

// zoneMayExist reports whether a zone may exist: it is in the settings, a member or a listed backend is in it, or
// this process has not received a complete list of backends yet and therefore cannot rule it out.
func (s *Service) zoneMayExist(zone string, now clock.Micros) bool {
	if _, named := s.zoneRegions[zone]; named {
		return true
	}
	for _, member := range s.members.All(now) {
		if member.Zone == zone {
			return true
		}
	}
	known, complete := false, false
	s.mesh.Each(mesh.EntryBackendList, func(entry *wire.Entry, _ string) {
		var list wire.BackendList
		if wire.Decode(entry.Body, &list) != nil {
			return
		}
		complete = complete || list.Complete && len(list.Backends) > 0
		known = known || slices.ContainsFunc(list.Backends, func(backend wire.Backend) bool { return backend.Zone == zone })
	})
	return known || !complete
}

func unknownZone(zone string) Result {
	finding := wire.Finding{Path: "zone", Text: "settings, members and backend list do not contain zone " + zone}
	return Result{Reply: wire.EditReply{Code: CodeUnknownZone, Findings: []wire.Finding{finding}}}
}
