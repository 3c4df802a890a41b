package wire

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"
)

func TestReadFromRefusesOversizeFrame(t *testing.T) {
	var n [4]byte
	binary.BigEndian.PutUint32(n[:], MaxFrame+1)
	_, err := ReadFrom(bytes.NewReader(n[:]))
	must.ErrorIs(t, err, ErrOversize)
	must.ErrorIs(t, WriteTo(&bytes.Buffer{}, make([]byte, MaxFrame+1)), ErrOversize)
}

func TestFrameWriteAndRead(t *testing.T) {
	var buf bytes.Buffer
	must.NoError(t, WriteTo(&buf, Seal(KindVote, 42, &Vote{Partition: 3, Term: 7, From: "a"})))
	b, err := ReadFrom(&buf)
	must.NoError(t, err)
	f, err := Open(b)
	must.NoError(t, err)
	must.Eq(t, KindVote, f.Kind)
	must.Eq(t, uint64(42), f.ID)
	var v Vote
	must.NoError(t, Decode(f.Body, &v))
	must.Eq(t, Vote{Partition: 3, Term: 7, From: "a"}, v)
}

func TestUnknownFieldsAreSkippedAndNewerFormatRefused(t *testing.T) {
	b := msgp.AppendMapHeader(nil, 3)
	b = msgp.AppendString(b, "p")
	b = msgp.AppendInt(b, 3)
	b = msgp.AppendString(b, "of_a_later_release")
	b = msgp.AppendMapStrStr(b, map[string]string{"x": "y"})
	b = msgp.AppendString(b, "t")
	b = msgp.AppendUint64(b, 9)
	var v Vote
	must.NoError(t, Decode(b, &v))
	must.Eq(t, Vote{Partition: 3, Term: 9}, v)
	f := Seal(KindVote, 0, &v)
	f[0] = Format + 1
	_, err := Open(f)
	must.ErrorIs(t, err, ErrFormat)
}
