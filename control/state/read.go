package state

import "wallport/runtime/wire"

// IsRead reports whether op is a read operation.
func IsRead(op string) bool {
	return op == wire.OpRead || op == wire.OpHistory || op == wire.OpZoneVersion
}

// AnswerRead replies to a read operation from a committed version. The caller must first confirm that the
// version is still the newest.
func AnswerRead(committed wire.Versioned, read *wire.Edit) wire.EditReply {
	if read.Op == wire.OpRead {
		return wire.EditReply{Code: wire.CodeOK, Version: committed.Version, Body: committed.Body}
	}
	editLog, err := ReadEditLog(committed.EditLog)
	if err != nil {
		return invalidEdit("ledger", "cannot be read: "+err.Error())
	}
	if read.Op == wire.OpZoneVersion {
		return wire.EditReply{Code: wire.CodeVersion, Version: zoneVersion(&editLog, read.Name)}
	}
	body, err := ReadConfig(committed.Body)
	if err != nil {
		return invalidEdit("body", "cannot be read: "+err.Error())
	}
	migrateConfig(&editLog, &body)
	return wire.EditReply{Code: wire.CodeOK, Version: committed.Version, Body: wire.Encode(&wire.EditLog{History: editLog.History})}
}
