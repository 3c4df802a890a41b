package wire

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Earlier releases and operators' scripts compare these texts, so they must not change.
func TestCodeAndOperationTexts(t *testing.T) {
	for text, code := range map[string]Code{
		"ok": CodeOK, "invalid": CodeInvalid, "conflict": CodeConflict, "lost_race": CodeLostRace, "shed": CodeOverloaded,
		"unknown": CodeUnknown, "not_owner": CodeNotLeader, "version": CodeVersion, "stale": CodeStale,
	} {
		must.Eq(t, text, string(code))
	}
	for text, op := range map[string]string{
		"read": OpRead, "history": OpHistory, "zone_version": OpZoneVersion, "routing": OpPutRouting, "put": OpPutConfig, "rows": OpEditRows,
		"return": OpRevertConfig, "empty": OpDrainZone, "refill": OpRestoreZone, "cut": OpReshard, "flip": OpSwitchShardMap, "rebuild": OpRebuild,
	} {
		must.Eq(t, text, op)
	}
}
