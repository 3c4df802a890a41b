package mesh

import (
	"crypto/ed25519"
	"encoding/hex"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/wire"
)

// goldenEntry is an entry as an earlier release signed and encoded it.
const goldenEntry = "8aa27479a76f70696e696f6ea26964a27331a16fc4206b79c57e6a095239282c04818e96112f3f03a4001ba97a564c23852a3f1ea5fca16309a2617409a2737483a17000a17400a17300a167c2a162c40178a27367c440ccf0d681672bb1b82ad2e3674bdf8d2274d9c90fef74d58c9c6610dfc281796cc768364175dd3cb34ee477001ae75d5fa723b661bd4528b350c09aa81c790d0ba16800"

func TestEntryOfEarlierReleaseIsAccepted(t *testing.T) {
	b, err := hex.DecodeString(goldenEntry)
	must.NoError(t, err)
	var e wire.Entry
	must.NoError(t, wire.Decode(b, &e))
	must.Eq(t, "opinion", e.Type)
	must.Eq(t, "s1", e.ID)
	must.Eq(t, 9, e.Count)
	r := newRig(t)
	r.gossip(&e)
	must.Eq(t, 1, r.storedEntries(EntryHealthReport))
	must.Eq(t, 0, r.count("mesh_dropped_signature"))
	must.Eq(t, goldenEntry, hex.EncodeToString(wire.Encode(newEntry(key(2), EntryHealthReport, "s1", 9))))
}

// Anti-entropy compares sums of these hashes, so processes of different releases must compute the same
// hashes.
func TestEntrySumsMatchEarlierReleases(t *testing.T) {
	must.Eq(t, uint64(17336033463086723998), entryHash(newEntry(key(2), EntryHealthReport, "s1", 9)))
	must.Eq(t, uint64(3932436095915900766), hash("0011223344556677"))
}

func TestHeartbeatSignatureMatchesEarlierReleases(t *testing.T) {
	must.Eq(t, "77616c6c706f727420626561742000000000000000ff", hex.EncodeToString(signedHeartbeatText(255)))
	must.Eq(t, "cb098cc54592efd33045fa4649c5012a0dde5d0802e9245422de5696780a9e8a6f9c1e385ba230ccda17270dff2833da73339268d94da9f5ac61629a75932a09", hex.EncodeToString(ed25519.Sign(key(2).Private, signedHeartbeatText(255))))
}
