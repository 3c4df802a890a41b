package process

import (
	"encoding/hex"
	"testing"

	"github.com/shoenig/test/must"
)

// Processes of different releases authenticate each other by this proof, so it must not change.
func TestFleetProofMatchesEarlierReleases(t *testing.T) {
	must.Eq(t, "4c0df4f1d79b6092f284249592cd55f6dbe5fa64262de1bc5e120f4738ab7077", hex.EncodeToString(fleetProof("secret", "0011223344556677", "8899aabbccddeeff")))
}
