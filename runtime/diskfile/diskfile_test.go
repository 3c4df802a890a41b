package diskfile

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTruncatedAndAlteredFilesAreRejected(t *testing.T) {
	packed := Pack([]byte("content"))
	got, err := Unpack(packed)
	must.NoError(t, err)
	must.Eq(t, "content", string(got))
	for n := range packed {
		_, err := Unpack(packed[:n])
		must.ErrorIs(t, err, ErrCorrupt)
		altered := append([]byte(nil), packed...)
		altered[n] ^= 1
		_, err = Unpack(altered)
		must.Error(t, err)
	}
}

func TestFutureFormatIsNamedInError(t *testing.T) {
	b := Pack([]byte("content"))
	b[len(magic)] = Format + 1
	_, err := Unpack(b)
	must.Eq(t, error(FutureFormatError{Format + 1}), err)
	must.StrContains(t, err.Error(), "run the newer program")
}
