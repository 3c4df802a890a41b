// Package diskfile defines the format of files on disk: a magic string, the version of the format, a
// SHA-256 digest, and the content. [Unpack] detects files that are incomplete, altered or not written by
// wallport. It rejects a file in the format of a newer release with an error that names both formats,
// since it would misread the content. The package does not access files.
package diskfile

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
)

// Format is the version of the disk format.
const Format = 1

const magic = "wallport"

// ErrCorrupt is returned for a file that is incomplete, altered or not written by wallport.
var ErrCorrupt = errors.New("file is incomplete, altered or not a wallport file")

// FutureFormatError is returned for a file that a newer release wrote.
type FutureFormatError struct{ Format byte }

func (e FutureFormatError) Error() string {
	return fmt.Sprintf("file has disk format %d, but this program supports formats up to %d: run the newer program on this folder", e.Format, Format)
}

// Pack returns the bytes of a file with the given content.
func Pack(content []byte) []byte {
	sum := sha256.Sum256(content)
	out := make([]byte, 0, len(magic)+1+len(sum)+len(content))
	out = append(out, magic...)
	out = append(out, Format)
	out = append(out, sum[:]...)
	return append(out, content...)
}

// Unpack returns the content of a file. It fails with [ErrCorrupt] or a [FutureFormatError]. The returned
// content shares memory with b.
func Unpack(b []byte) ([]byte, error) {
	const digestAt = len(magic) + 1
	if len(b) < digestAt+sha256.Size || !bytes.HasPrefix(b, []byte(magic)) {
		return nil, ErrCorrupt
	}
	switch format := b[len(magic)]; {
	case format == 0:
		return nil, ErrCorrupt
	case format > Format:
		return nil, FutureFormatError{format}
	}
	content := b[digestAt+sha256.Size:]
	if sum := sha256.Sum256(content); !bytes.Equal(sum[:], b[digestAt:digestAt+sha256.Size]) {
		return nil, ErrCorrupt
	}
	return content, nil
}
