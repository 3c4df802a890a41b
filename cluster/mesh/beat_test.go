// Signs of life: nobody but their origin can make them.

package mesh

import (
	"crypto/ed25519"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

func (r *rig) heartbeat(mk wire.Mark) {
	r.feed(kernel.Received{Conn: 7, Data: wire.Seal(wire.KindHeartbeat, 0, &wire.Heartbeat{Marks: []wire.Mark{mk}})})
}

func mark(k kernel.Key, beat uint64) wire.Mark {
	return wire.Mark{Origin: kernel.Fingerprint(k.Public), Beat: beat, Key: k.Public, Sig: ed25519.Sign(k.Private, beatText(beat))}
}

func TestNoMemberMakesADeadOneLookAlive(t *testing.T) {
	r := newRig(t)
	dead := kernel.Fingerprint(key(3).Public)
	r.heartbeat(mark(key(3), 4))
	must.False(t, r.m.Live(dead, r.now), must.Sprint("heard of from another, it may be long gone"))
	r.heartbeat(mark(key(3), 5))
	must.True(t, r.m.Live(dead, r.now))
	r.now += LiveFor + 1
	forged := map[string]wire.Mark{"the same again": mark(key(3), 5), "an older one": mark(key(3), 4)}
	raised := mark(key(3), 5)
	raised.Beat = 6
	forged["raised by a peer"] = raised
	raised.Sig, raised.Key = nil, nil
	forged["not signed"] = raised
	other := mark(key(2), 6)
	other.Origin = dead
	forged["signed by another"] = other
	for name, mk := range forged {
		r.heartbeat(mk)
		must.False(t, r.m.Live(dead, r.now), must.Sprint(name))
	}
	must.Eq(t, 3, r.count("mesh_dropped_beat"))
	r.heartbeat(mark(key(3), 6))
	must.True(t, r.m.Live(dead, r.now), must.Sprint("its own next one"))
}

func TestUnsignedBeatsPassOnlyWhileUpgrading(t *testing.T) {
	r := newRig(t)
	mk := mark(key(3), 5)
	mk.Key, mk.Sig = nil, nil
	r.heartbeat(mk)
	must.False(t, r.m.Live(mk.Origin, r.now))
	r.k.Boot.Settings.UnsignedBeats = true
	r.heartbeat(mk)
	mk.Beat++
	r.heartbeat(mk)
	must.True(t, r.m.Live(mk.Origin, r.now))
}
