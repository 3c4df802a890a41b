package configsync

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
)

func newSync() *Sync {
	return &Sync{
		liveAt: map[string]clock.Micros{}, zones: map[string]string{}, unansweredSince: map[string]clock.Micros{}, pending: map[uint64]pendingPull{}, contact: contact{withoutContact: map[string]bool{}},
		settings: settings.Settings{Mesh: "10.0.0.1:1", Zone: "z1"},
	}
}

// countChoices counts how often chooseCore selects each zone and each core for 1000 pulls.
func (p *Sync) countChoices(now clock.Micros) (byZone, byCore map[string]int) {
	ctx := &kernel.Context{Now: now, Rand: rand.New(rand.NewPCG(1, 1))}
	byZone, byCore = map[string]int{}, map[string]int{}
	var all []string
	for a := range p.zones {
		all = append(all, a)
	}
	for range 1000 {
		a := p.chooseCore(ctx, all)[0]
		byZone[p.zones[a]]++
		byCore[a]++
	}
	return byZone, byCore
}

func TestChooseCorePrefersFewCoresOfOwnZone(t *testing.T) {
	p := newSync()
	for _, z := range []string{"z1", "z2", "z3"} {
		for _, n := range []string{"a", "b", "c", "d", "e"} {
			p.zones[z+n] = z
		}
	}
	byZone, byCore := p.countChoices(0)
	must.Eq(t, 750, byZone["z1"])
	must.MapLen(t, maxLocalCores+maxRemoteCores, byCore)
}

func TestChooseCoreAvoidsUnresponsiveCore(t *testing.T) {
	p := newSync()
	p.zones = map[string]string{"z1a": "z1", "z2a": "z2"}
	p.unansweredSince["z1a"] = 1
	_, byCore := p.countChoices(unresponsiveAfter + 2)
	must.Eq(t, 166, byCore["z1a"])
	p.unansweredSince["z2a"] = 1
	_, byCore = p.countChoices(unresponsiveAfter + 2)
	must.Eq(t, 1000, byCore["z1a"]+byCore["z2a"], must.Sprint("if no core responds, pulls must go to all cores"))
	must.Greater(t, 300, byCore["z1a"])
}

func TestForgetExcessKeepsCoresOfOwnZone(t *testing.T) {
	p := newSync()
	for i := range maxKnownCores + 10 {
		zone := "z2"
		if i >= maxKnownCores {
			zone = "z1"
		}
		a := zone + strings.Repeat("x", i)
		p.known, p.liveAt[a], p.zones[a] = append(p.known, a), 5, zone
	}
	p.forgetExcess()
	local := 0
	for _, a := range p.known {
		if p.zones[a] == "z1" {
			local++
		}
	}
	must.Len(t, maxKnownCores, p.known)
	must.Eq(t, 10, local)
}

func TestForgetExcessDropsOldestCores(t *testing.T) {
	p := &Sync{liveAt: map[string]clock.Micros{}}
	for i := range maxKnownCores + 3 {
		a := fmt.Sprintf("core-%02d", i)
		p.known, p.liveAt[a] = append(p.known, a), clock.Micros(i)
	}
	p.forgetExcess()
	must.Len(t, maxKnownCores, p.known)
	must.Eq(t, "core-03", p.known[0])
	must.MapLen(t, maxKnownCores, p.liveAt)
}
