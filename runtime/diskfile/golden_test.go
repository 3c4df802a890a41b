package diskfile

import (
	"encoding/hex"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a change of the disk format: packed is a file as earlier releases wrote it, with magic, format, digest
// and content.
func TestPackKeepsFormatOfEarlierReleases(t *testing.T) {
	const packed = "77616c6c706f7274" + "01" +
		"ed7002b439e9ac845f22357d822bac1444730fbdb6016d3ec9432297b9ec9f73" + "636f6e74656e74"
	must.Eq(t, packed, hex.EncodeToString(Pack([]byte("content"))))
	b, err := hex.DecodeString(packed)
	must.NoError(t, err)
	content, err := Unpack(b)
	must.NoError(t, err)
	must.Eq(t, "content", string(content))
}
