package configsync

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
)

// Unconfirmed state must not be served before a newly discovered core has had time to reply.
func TestConfirmedWaitsForNewCore(t *testing.T) {
	const stored = clock.Second
	p := &Sync{contact: contact{firstStoredAt: stored}}
	must.False(t, p.Confirmed(0, stored+UnconfirmedTimeout-1))
	must.True(t, p.Confirmed(0, stored+UnconfirmedTimeout))
	p.contact.coreDiscoveredAt = stored + UnconfirmedTimeout - 1
	must.False(t, p.Confirmed(0, stored+UnconfirmedTimeout))
	must.True(t, p.Confirmed(0, p.contact.coreDiscoveredAt+NewCoreTimeout))
	p.contact.coreDiscoveredAt = stored + MaxUnconfirmedWait - 1
	must.True(t, p.Confirmed(0, stored+MaxUnconfirmedWait), must.Sprint("the wait must end after MaxUnconfirmedWait"))
	must.False(t, (&Sync{}).Confirmed(0, 1<<40), must.Sprint("must not be confirmed while no version is stored"))
}
