// Large versions in the replies to pulls, and the large versions that a reply omits.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// A large version is contained in the reply to one pull, not in every reply while it is in transit.
func TestLargeVersionIsPulledOnce(t *testing.T) {
	c := newCore(t, nil)
	large := func(partition, size int) {
		c.host.groups[partition].committed = wire.Versioned{Version: wire.Version{Partition: partition, Term: 1, Seq: 1}, Body: make([]byte, size)}
	}
	large(0, 4<<20)
	large(1, 2<<20)
	large(2, 100)
	pull := func() (parts []int, partial bool) {
		r := wire.PullReply{}
		must.NoError(t, wire.Decode(reassemble(t, c, wire.KindPull, &wire.Pull{}), &r))
		for _, v := range r.Versions {
			parts = append(parts, v.Version.Partition)
		}
		return parts, r.Partial
	}
	parts, partial := pull()
	must.Eq(t, []int{0, 2}, parts, must.Sprint("the reply must omit the second large version, because two do not fit into one message"))
	must.True(t, partial)
	parts, partial = pull()
	must.Eq(t, []int{1, 2}, parts)
	must.True(t, partial)
	c.now += LargeResendToPullerAfter
	parts, _ = pull()
	must.Eq(t, []int{0, 2}, parts)
}

// A partition whose version is withheld is not confirmed: a process that starts must not take its older state for the
// newest.
func TestWithheldVersionIsNotConfirmed(t *testing.T) {
	c := newCore(t, nil)
	v := wire.Versioned{Version: wire.Version{Partition: 1, Term: 1, Seq: 1}, Body: make([]byte, wire.MaxSingleFrame+1)}
	for range 2 {
		r := wire.PullReply{Versions: []wire.Versioned{v}, ContactMask: 0b111, RelayedMask: 0b110}
		c.host.limitPull(c.now, 7, &r)
		if len(r.Versions) == 1 {
			must.Eq(t, 0b111, r.ContactMask)
			continue
		}
		must.Eq(t, 0b101, r.ContactMask)
		must.Eq(t, 0b100, r.RelayedMask)
	}
}

// reassemble sends a core a message and joins the chunks of its reply.
func reassemble(t *testing.T, c *core, kind uint8, m interface{ MarshalMsg([]byte) ([]byte, error) }) []byte {
	t.Helper()
	out := c.send(kind, m)
	var whole []byte
	for len(out.Sends) > 0 {
		var next kernel.Output
		for _, s := range out.Sends {
			f, err := wire.Open(s.Data)
			must.NoError(t, err)
			if f.Kind != wire.KindChunk {
				return f.Body
			}
			var p wire.Chunk
			must.NoError(t, wire.Decode(f.Body, &p))
			whole = append(whole, p.Data...)
			ack := wire.ChunkAck{Transfer: p.Transfer, Next: len(whole)}
			next.Sends = append(next.Sends, c.send(wire.KindChunkAck, &ack).Sends...)
		}
		out = next
	}
	f, err := wire.OpenMessage(whole)
	must.NoError(t, err)
	return f.Body
}
