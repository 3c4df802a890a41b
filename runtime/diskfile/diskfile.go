// Package diskfile wraps what goes on disk: a magic with the format's stamp, a
// digest, the content. A torn or foreign file is told from a good one, and a
// format from the future is refused by name instead of being misread.
package diskfile

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
)

// Format is the stamp of the disk format.
const Format = 1

var magic = []byte("wallport")

// ErrCorrupt is returned for a file that is not whole.
var ErrCorrupt = errors.New("file is torn or foreign")

// FutureFormatError is returned for a file that a newer program wrote.
type FutureFormatError struct{ Format byte }

func (e FutureFormatError) Error() string {
	return fmt.Sprintf("file has disk format %d, this program knows up to %d: run the newer program on this folder", e.Format, Format)
}

// Pack wraps content.
func Pack(content []byte) []byte {
	sum := sha256.Sum256(content)
	out := make([]byte, 0, len(magic)+1+len(sum)+len(content))
	out = append(out, magic...)
	out = append(out, Format)
	out = append(out, sum[:]...)
	return append(out, content...)
}

// Unpack checks and returns the content.
func Unpack(b []byte) ([]byte, error) {
	head := len(magic) + 1
	if len(b) < head+sha256.Size || !bytes.Equal(b[:len(magic)], magic) {
		return nil, ErrCorrupt
	}
	if b[len(magic)] == 0 {
		return nil, ErrCorrupt
	}
	if b[len(magic)] > Format {
		return nil, FutureFormatError{b[len(magic)]}
	}
	content := b[head+sha256.Size:]
	if sum := sha256.Sum256(content); !bytes.Equal(sum[:], b[head:head+sha256.Size]) {
		return nil, ErrCorrupt
	}
	return content, nil
}
