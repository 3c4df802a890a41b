// The rule on histories: the answers to operators' calls are linearizable, for the configuration and for each zone.
// The platform's documentation has no rule of this name; CONFIG, LOST and EVAC imply this rule.

package rules

import (
	"fmt"
	"slices"

	"wallport/lab/history"
	"wallport/runtime/clock"
)

// History is the name of the rule that the operators' histories are linearizable.
const History = "HISTORY"

func histories(j *Journal) {
	h := j.OperatorsHistory()
	for range h.Operations {
		j.tested(History)
	}
	for _, err := range h.Check() {
		j.fail(History, j.End, "%v", err)
	}
}

// OperatorsHistory returns the history of the operators' calls and their answers.
func (j *Journal) OperatorsHistory() *history.History {
	h := &history.History{}
	for i, version := range j.Versions {
		op := history.Operation{
			Register: history.Configuration, Client: i, Kind: history.Change, ID: versionID(i, version), Version: fmt.Sprint(version.Revision), Invalid: version.Invalid,
		}
		if version.Base > 0 {
			op.Base = fmt.Sprint(version.Base)
		}
		h.Add(between(op, version.Sent, version.Acked, version.Refused))
	}
	for _, r := range j.Confirmed {
		j.addReading(h, r)
	}
	for i, evacuation := range j.Evacuations {
		op := history.Operation{Register: history.Zone(evacuation.Zone), Client: i, Kind: history.Set, ID: history.Drained}
		h.Add(between(op, evacuation.Sent, evacuation.Acked, Never))
		if evacuation.RestoreSent != Never {
			op.ID = history.Restored
			h.Add(between(op, evacuation.RestoreSent, evacuation.RestoreAcked, Never))
		}
	}
	for i, call := range j.ZoneCalls {
		op := history.Operation{Register: history.Zone(call.Zone), Client: i, Kind: history.Set, ID: history.Restored}
		if call.Drains {
			op.ID = history.Drained
		}
		h.Add(between(op, call.Sent, call.Acked, Never))
	}
	return h
}

func versionID(i int, version *Version) string {
	return fmt.Sprintf("revision %d, sent as number %d", version.Revision, i)
}

// between sets the begin, end and outcome of an operation. acked is Never if there was no acknowledgement, refused is
// Never if there was no refusal.
func between(op history.Operation, sent, acked, refused clock.Micros) history.Operation {
	op.Begin = sent
	switch {
	case acked != Never:
		op.End, op.Outcome = acked, history.Accepted
	case refused != Never:
		op.End, op.Outcome = refused, history.Refused
	}
	return op
}

// addReading adds a confirmed reading as reads of the configuration and of every zone that was ever drained.
func (j *Journal) addReading(h *history.History, r ConfirmedReading) {
	op := history.Operation{Register: history.Configuration, Kind: history.Read, Begin: r.Sent, End: r.At, Outcome: history.Accepted}
	op.Value = j.valueOf(r)
	h.Add(op)
	if r.TableOnly {
		return
	}
	for _, zone := range j.zonesOf(r) {
		op.Register, op.Value = history.Zone(zone), history.Restored
		if slices.Contains(r.Drained, zone) {
			op.Value = history.Drained
		}
		h.Add(op)
	}
}

// zonesOf returns the zones that operators' calls ever named, and those that a reading shows as drained.
func (j *Journal) zonesOf(r ConfirmedReading) []string {
	zones := slices.Clone(r.Drained)
	for _, evacuation := range j.Evacuations {
		zones = append(zones, evacuation.Zone)
	}
	for _, call := range j.ZoneCalls {
		zones = append(zones, call.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// valueOf returns the id of the version with the revision and content of a reading, "" for the initial version.
func (j *Journal) valueOf(r ConfirmedReading) string {
	if r.Table.GetRevision() == 0 {
		return ""
	}
	for i, version := range j.Versions {
		if version.Revision == r.Table.Revision && version.mayBeInForce(r.At) && equalConfigs(version.Table, r.Table) {
			return versionID(i, version)
		}
	}
	return fmt.Sprintf("revision %d with content that no operator sent", r.Table.Revision)
}
