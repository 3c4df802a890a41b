// Which core is asked: mostly one of the own zone, seldom one that is silent.

package configsync

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/kernel"
	"wallport/runtime/settings"
)

func puller() *Sync {
	return &Sync{
		liveAt: map[string]int64{}, zones: map[string]string{}, asked: map[string]int64{}, sent: map[uint64]sentPull{}, contact: contact{without: map[string]bool{}},
		place: settings.Settings{Mesh: "10.0.0.1:1", Zone: "z1"},
	}
}

// tries counts by zone which cores a thousand pulls go to.
func (p *Sync) tries(now int64) (byZone, byCore map[string]int) {
	ctx := &kernel.Context{Now: now, Rand: rand.New(rand.NewPCG(1, 1))}
	byZone, byCore = map[string]int{}, map[string]int{}
	var all []string
	for a := range p.zones {
		all = append(all, a)
	}
	for range 1000 {
		a := p.choose(ctx, all)[0]
		byZone[p.zones[a]]++
		byCore[a]++
	}
	return byZone, byCore
}

func TestCoresOfTheOwnZoneFirstAndFew(t *testing.T) {
	p := puller()
	for _, z := range []string{"z1", "z2", "z3"} {
		for _, n := range []string{"a", "b", "c", "d", "e"} {
			p.zones[z+n] = z
		}
	}
	byZone, byCore := p.tries(0)
	must.Eq(t, 750, byZone["z1"])
	must.MapLen(t, nearMost+farMost, byCore)
}

func TestSilentCoreIsSeldomAsked(t *testing.T) {
	p := puller()
	p.zones = map[string]string{"z1a": "z1", "z2a": "z2"}
	p.asked["z1a"] = 1
	_, byCore := p.tries(silentAfter + 2)
	must.Eq(t, 166, byCore["z1a"])
	p.asked["z2a"] = 1
	_, byCore = p.tries(silentAfter + 2)
	must.Eq(t, 1000, byCore["z1a"]+byCore["z2a"], must.Sprint("where none answers, all are tried"))
	must.Greater(t, 300, byCore["z1a"])
}

func TestKnownCoresAreThoseNear(t *testing.T) {
	p := puller()
	for i := range knownMost + 10 {
		zone := "z2"
		if i >= knownMost {
			zone = "z1"
		}
		a := zone + strings.Repeat("x", i)
		p.known, p.liveAt[a], p.zones[a] = append(p.known, a), 5, zone
	}
	p.bound()
	near := 0
	for _, a := range p.known {
		if p.zones[a] == "z1" {
			near++
		}
	}
	must.Len(t, knownMost, p.known)
	must.Eq(t, 10, near)
}
