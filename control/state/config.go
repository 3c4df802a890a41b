package state

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"wallport/api/configpb"
	"wallport/control/config"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// configMachine applies edits to the body of the configuration partition.
type configMachine struct{ body wire.ConfigBody }

// ReadConfig decodes the body of the configuration partition; nil decodes to an empty body.
func ReadConfig(encoded []byte) (wire.ConfigBody, error) {
	var body wire.ConfigBody
	if len(encoded) == 0 {
		return body, nil
	}
	err := wire.Decode(encoded, &body)
	return body, err
}

// ConfigurationOf decodes the operators' configuration in a body. It returns an empty configuration if
// there is none or if it cannot be decoded.
func ConfigurationOf(body wire.ConfigBody) *configpb.Sheet { return decodeConfiguration(body.Config) }

func decodeConfiguration(encoded []byte) *configpb.Sheet {
	configuration := new(configpb.Sheet)
	if proto.Unmarshal(encoded, configuration) != nil {
		return new(configpb.Sheet)
	}
	return configuration
}

func (m *configMachine) encode() []byte { return wire.Encode(&m.body) }

func (m *configMachine) migrate(editLog *wire.EditLog) { migrateConfig(editLog, &m.body) }

func (m *configMachine) apply(edit *wire.Edit, editLog *wire.EditLog, next wire.Version) (wire.EditReply, bool) {
	var reply wire.EditReply
	switch edit.Op {
	case wire.OpPutRouting:
		return editRouting(&m.body, editLog, next, edit)
	case wire.OpPutConfig, wire.OpEditRows, wire.OpRevertConfig:
		reply = editConfiguration(&m.body, editLog, next, edit)
	case wire.OpDrainZone, wire.OpRestoreZone:
		reply = editZone(&m.body, editLog, next, edit)
	default:
		reply = unknownOp(edit.Op)
	}
	return reply, reply.Code == wire.CodeOK
}

// editConfiguration validates an edit of the configuration and puts the result in force. The edit names the
// configuration version that it is based on. Of two concurrent edits with the same base only the first is
// applied, unless the second edits other rows (checkBase).
func editConfiguration(body *wire.ConfigBody, editLog *wire.EditLog, next wire.Version, edit *wire.Edit) wire.EditReply {
	if edit.Base != body.ConfigVersion {
		if reply, lost := checkBase(body, editLog, edit); lost {
			return reply
		}
	}
	var configuration *configpb.Sheet
	var found []wire.Finding
	switch edit.Op {
	case wire.OpPutConfig:
		configuration, found = config.Read(edit.Body)
	case wire.OpEditRows:
		configuration, found = config.Apply(ConfigurationOf(*body), edit.Body)
	case wire.OpRevertConfig:
		i := slices.IndexFunc(editLog.History, func(past wire.PastConfig) bool { return config.VersionText(past.Version) == edit.Name })
		if i < 0 {
			return invalidEdit("stamp", "not in the history: "+edit.Name)
		}
		configuration = decodeConfiguration(editLog.History[i].Config)
	}
	if len(found) == 0 {
		found = config.Check(configuration)
	}
	if len(found) > 0 {
		return wire.EditReply{Code: wire.CodeInvalid, Findings: found}
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(configuration)
	if err != nil {
		return invalidEdit("sheet", err.Error())
	}
	body.Config, body.ConfigVersion = encoded, next
	editLog.History = boundHistory(append(editLog.History, wire.PastConfig{Version: next, By: edit.By, Config: encoded}))
	return wire.EditReply{Code: wire.CodeOK}
}

// checkBase reports whether an edit whose base is not the configuration in force loses the race. An edit of
// single rows is still valid if its base is in the history and none of its rows has changed since.
func checkBase(body *wire.ConfigBody, editLog *wire.EditLog, edit *wire.Edit) (reply wire.EditReply, lost bool) {
	reply = wire.EditReply{Code: wire.CodeLostRace, Version: body.ConfigVersion}
	i := slices.IndexFunc(editLog.History, func(past wire.PastConfig) bool { return past.Version == edit.Base })
	if edit.Op != wire.OpEditRows || i < 0 {
		return reply, true
	}
	base := decodeConfiguration(editLog.History[i].Config)
	reply.Findings = config.Conflicts(base, ConfigurationOf(*body), edit.Body)
	return reply, len(reply.Findings) > 0
}

// tickConfig updates the active bookings according to the leader's corrected clock.
func tickConfig(encoded []byte, _ wire.Version, wallTime clock.Micros, _ map[string]string) ([]byte, bool) {
	body, err := ReadConfig(encoded)
	if err != nil || len(body.Config) == 0 {
		return nil, false
	}
	var active []string
	for _, booking := range ConfigurationOf(body).Bookings {
		if booking.StartsUs <= wallTime && wallTime < booking.EndsUs {
			active = append(active, booking.Id)
		}
	}
	slices.Sort(active)
	if slices.Equal(active, body.ActiveBookings) {
		return nil, false
	}
	body.ActiveBookings = active
	return wire.Encode(&body), true
}
