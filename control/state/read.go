// What a leader answers to the operations that only read.

package state

import "wallport/runtime/wire"

// IsRead reports whether an operation only reads.
func IsRead(op string) bool {
	return op == wire.OpRead || op == wire.OpHistory || op == wire.OpZoneVersion
}

// AnswerRead answers a read by a committed version.
func AnswerRead(version wire.Versioned, read *wire.Edit) wire.EditReply {
	if read.Op == wire.OpRead {
		return wire.EditReply{Code: "ok", Version: version.Version, Body: version.Body}
	}
	ledger, err := ReadEditLog(version.EditLog)
	if err != nil {
		return invalidEdit("ledger", "cannot be read: "+err.Error())
	}
	if read.Op == wire.OpZoneVersion {
		return wire.EditReply{Code: wire.CodeVersion, Version: zoneVersion(&ledger, read.Name)}
	}
	config, err := ReadConfig(version.Body)
	if err != nil {
		return invalidEdit("body", "cannot be read: "+err.Error())
	}
	migrateConfig(&ledger, &config)
	return wire.EditReply{Code: "ok", Version: version.Version, Body: wire.Encode(&wire.EditLog{History: ledger.History})}
}
