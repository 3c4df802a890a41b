package discovery

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/settings"
)

func TestFirstReadNeedsNoLease(t *testing.T) {
	for _, c := range []struct {
		quorumMember bool
		from         int64
		to           int64
	}{
		{true, 0, FirstReadJitter},
		{false, NonMemberDelay, NonMemberDelay + NonMemberJitter},
	} {
		r := newRig(t, settings.Settings{ListInterval: second, PollsPer10s: 440, QuorumMember: c.quorumMember})
		r.run(c.to)
		must.Len(t, 1, r.fetches)
		must.Between(t, c.from, r.fetches[0], c.to)
	}
}

func TestFirstReadIsSkippedAfterReadingOfAnotherNode(t *testing.T) {
	a := newRig(t, settings.Settings{ListInterval: second, PollsPer10s: 440, QuorumMember: true})
	b := newNode(t, settings.Settings{ListInterval: second, PollsPer10s: 440}, 1)
	connect(a, b)
	a.run(NonMemberDelay + NonMemberJitter)
	must.Positive(t, len(a.fetches))
	must.SliceEmpty(t, b.fetches)
	must.False(t, b.lister.listUnknown)
}

func TestFailedFirstReadsStayWithinAllowance(t *testing.T) {
	r := newRig(t, settings.Settings{ListInterval: second, PollsPer10s: 440, QuorumMember: true})
	r.status = 429
	r.run(10 * second)
	must.Between(t, 2, len(r.fetches), 10)
}
