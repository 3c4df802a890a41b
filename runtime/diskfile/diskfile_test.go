// Torn, foreign and future files are told from good ones.

package diskfile

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTruncatedAndAlteredFilesAreRejected(t *testing.T) {
	whole := Pack([]byte("content"))
	got, err := Unpack(whole)
	must.NoError(t, err)
	must.Eq(t, "content", string(got))
	for n := range whole {
		_, err := Unpack(whole[:n])
		must.ErrorIs(t, err, ErrCorrupt)
		bad := append([]byte(nil), whole...)
		bad[n] ^= 1
		_, err = Unpack(bad)
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
