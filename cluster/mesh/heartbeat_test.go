package mesh

import (
	"crypto/ed25519"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

func (r *rig) receiveSummary(summary wire.OriginSummary) {
	r.feed(kernel.Received{Conn: 7, Data: wire.Seal(wire.KindHeartbeat, 0, &wire.Heartbeat{Summaries: []wire.OriginSummary{summary}})})
}

func summary(k kernel.Key, beat uint64) wire.OriginSummary {
	return wire.OriginSummary{Origin: kernel.Fingerprint(k.Public), Heartbeat: beat, Key: k.Public, Sig: ed25519.Sign(k.Private, signedHeartbeatText(beat))}
}

func TestHeartbeatOfDeadOriginCannotBeForgedOrReplayed(t *testing.T) {
	r := newRig(t)
	dead := kernel.Fingerprint(key(3).Public)
	r.receiveSummary(summary(key(3), 4))
	must.False(t, r.m.Live(dead, r.now), must.Sprint("a relayed count alone must not make the origin live"))
	r.receiveSummary(summary(key(3), 5))
	must.True(t, r.m.Live(dead, r.now))
	r.now += LivenessTimeout + 1
	forged := map[string]wire.OriginSummary{"replayed": summary(key(3), 5), "older count replayed": summary(key(3), 4)}
	raised := summary(key(3), 5)
	raised.Heartbeat = 6
	forged["count raised by a peer"] = raised
	raised.Sig, raised.Key = nil, nil
	forged["not signed"] = raised
	other := summary(key(2), 6)
	other.Origin = dead
	forged["signed with another key"] = other
	for name, summary := range forged {
		t.Run(name, func(t *testing.T) {
			r.receiveSummary(summary)
			must.False(t, r.m.Live(dead, r.now))
		})
	}
	must.Eq(t, 3, r.count("mesh_dropped_beat"))
	r.receiveSummary(summary(key(3), 6))
	must.True(t, r.m.Live(dead, r.now), must.Sprint("the origin's own next heartbeat must make it live again"))
}

func TestUnsignedHeartbeatsAcceptedOnlyDuringUpgrade(t *testing.T) {
	r := newRig(t)
	summary := summary(key(3), 5)
	summary.Key, summary.Sig = nil, nil
	r.receiveSummary(summary)
	must.False(t, r.m.Live(summary.Origin, r.now))
	r.k.Boot.Settings.UnsignedHeartbeats = true
	r.receiveSummary(summary)
	summary.Heartbeat++
	r.receiveSummary(summary)
	must.True(t, r.m.Live(summary.Origin, r.now))
}
