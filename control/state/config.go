// The configuration partition: the sheet, the routing table, the emptied zones and the bookings that
// run. A sheet's edit names the version of the sheet it is based on; of two that
// race only the first is taken.

package state

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"wallport/api/configpb"
	"wallport/control/config"
	"wallport/runtime/wire"
)

// Bounds of what orders about zones may leave behind.
const (
	maxZoneNameBytes = 128
	maxDrainedZones  = 128
)

// ReadConfig decodes a configuration body; nil is the empty one.
func ReadConfig(body []byte) (wire.ConfigBody, error) {
	var c wire.ConfigBody
	if len(body) == 0 {
		return c, nil
	}
	err := wire.Decode(body, &c)
	return c, err
}

// ConfigurationOf decodes the sheet of a configuration.
func ConfigurationOf(c wire.ConfigBody) *configpb.Sheet {
	s := new(configpb.Sheet)
	if proto.Unmarshal(c.Config, s) != nil {
		return new(configpb.Sheet)
	}
	return s
}

func applyConfigEdit(value Value, next wire.Version, e *wire.Edit) (Value, wire.EditReply, bool) {
	c, err := ReadConfig(value.Body)
	if err != nil {
		return value, invalidEdit("body", "the part's body cannot be read: "+err.Error()), false
	}
	ledger, err := ReadEditLog(value.EditLog)
	if err != nil {
		return value, invalidEdit("ledger", "cannot be read: "+err.Error()), false
	}
	migrateConfig(&ledger, &c)
	if r, ok := findRepeatedEdit(&ledger, e); ok {
		return value, r, false
	}
	var r wire.EditReply
	switch e.Op {
	case "routing":
		// Known again by its digest, which covers its base and number: its edit id is not kept.
		var took bool
		if r, took = editRouting(&c, &ledger, next, e); !took {
			return value, r, false
		}
		return Value{Body: wire.Encode(&c), EditLog: wire.Encode(&ledger)}, r, true
	case "put", "rows", "return":
		r = editConfiguration(&c, &ledger, next, e)
	case "empty", "refill":
		r = editZone(&c, &ledger, next, e)
	default:
		r = invalidEdit("op", "no such operation: "+e.Op)
	}
	if r.Code != "ok" {
		return value, r, false
	}
	recordEdit(&ledger, e, next)
	return Value{Body: wire.Encode(&c), EditLog: wire.Encode(&ledger)}, r, true
}

func editConfiguration(c *wire.ConfigBody, ledger *wire.EditLog, next wire.Version, e *wire.Edit) wire.EditReply {
	if e.Base != c.ConfigVersion {
		if r, lost := checkBase(c, ledger, e); lost {
			return r
		}
	}
	var s *configpb.Sheet
	var found []wire.Finding
	switch e.Op {
	case "put":
		s, found = config.Read(e.Body)
	case "rows":
		s, found = config.Apply(ConfigurationOf(*c), e.Body)
	case "return":
		i := slices.IndexFunc(ledger.History, func(p wire.PastConfig) bool { return config.VersionText(p.Version) == e.Name })
		if i < 0 {
			return invalidEdit("stamp", "not in the history: "+e.Name)
		}
		s = ConfigurationOf(wire.ConfigBody{Config: ledger.History[i].Config})
	}
	if len(found) == 0 {
		found = config.Check(s)
	}
	if len(found) > 0 {
		return wire.EditReply{Code: "invalid", Findings: found}
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return invalidEdit("sheet", err.Error())
	}
	c.Config, c.ConfigVersion = b, next
	ledger.History = boundHistory(append(ledger.History, wire.PastConfig{Version: next, By: e.By, Config: b}))
	return wire.EditReply{Code: "ok"}
}

// checkBase judges an edit that is not based on the sheet in force: one of rows
// alone still holds if none of its rows has changed since its base.
func checkBase(c *wire.ConfigBody, ledger *wire.EditLog, e *wire.Edit) (wire.EditReply, bool) {
	lost := wire.EditReply{Code: "lost_race", Version: c.ConfigVersion}
	i := slices.IndexFunc(ledger.History, func(p wire.PastConfig) bool { return p.Version == e.Base })
	if e.Op != "rows" || i < 0 {
		return lost, true
	}
	lost.Findings = config.Conflicts(ConfigurationOf(wire.ConfigBody{Config: ledger.History[i].Config}), ConfigurationOf(*c), e.Body)
	return lost, len(lost.Findings) > 0
}

// editZone drains a zone or restores it. The order is bound to the version that last took one about
// that zone, as it was read after the order came: a late copy is bound to an older one and is stale.
func editZone(c *wire.ConfigBody, ledger *wire.EditLog, next wire.Version, e *wire.Edit) wire.EditReply {
	drains := e.Op == "empty"
	if found := checkZone(c, e.Name, drains); len(found) > 0 {
		return wire.EditReply{Code: "invalid", Findings: found}
	}
	if e.Base != zoneVersion(ledger, e.Name) {
		return wire.EditReply{Code: wire.CodeStale}
	}
	before := c.DrainedZones
	c.DrainedZones = slices.DeleteFunc(slices.Clone(before), func(z string) bool { return z == e.Name })
	if drains {
		c.DrainedZones = append(c.DrainedZones, e.Name)
		slices.Sort(c.DrainedZones)
	}
	// Also an order that changes nothing is acknowledged: whatever was given before it is stale.
	setZoneVersion(ledger, e.Name, next)
	return wire.EditReply{Code: "ok"}
}

// checkZone lists what makes an order about a zone invalid.
func checkZone(c *wire.ConfigBody, zone string, drains bool) []wire.Finding {
	var text string
	switch {
	case zone == "":
		text = "is needed"
	case len(zone) > maxZoneNameBytes:
		text = fmt.Sprintf("is longer than %d bytes", maxZoneNameBytes)
	case !utf8.ValidString(zone) || strings.ContainsFunc(zone, unicode.IsControl):
		text = "is not a name in plain text"
	case drains && len(c.DrainedZones) >= maxDrainedZones && !slices.Contains(c.DrainedZones, zone):
		text = fmt.Sprintf("%d zones are drained already", maxDrainedZones)
	default:
		return nil
	}
	return []wire.Finding{{Path: "zone", Text: text}}
}

// tickConfig starts and ends bookings by the leader's corrected clock.
func tickConfig(body []byte, _ wire.Version, wall int64, _ map[string]string) ([]byte, bool) {
	c, err := ReadConfig(body)
	if err != nil || len(c.Config) == 0 {
		return nil, false
	}
	var run []string
	for _, b := range ConfigurationOf(c).Bookings {
		if b.StartsUs <= wall && wall < b.EndsUs {
			run = append(run, b.Id)
		}
	}
	slices.Sort(run)
	if slices.Equal(run, c.ActiveBookings) {
		return nil, false
	}
	c.ActiveBookings = run
	return wire.Encode(&c), true
}
