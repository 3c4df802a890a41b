// Package usage spreads each node's own rate of inquiries over the mesh, so
// that fleet-wide shares and ceilings can be split by who is really asked. It
// tells only when the rate moved by a fifth, and at most once a second.
package usage

import (
	"fmt"
	"sync"
	"sync/atomic"

	"wallport/kernel"
	"wallport/mesh"
	"wallport/wire"
)

const tellEvery = 1_000_000

// Meter counts the inquiries of one index and kind that came to this node.
type Meter struct {
	came  atomic.Int64
	last  int64
	rate  float64
	told  float64
	other atomic.Int64
	mine  atomic.Int64
}

// Came counts one inquiry.
func (m *Meter) Came() { m.came.Add(1) }

// Fraction is this node's part of the fleet's rate, with a floor for the
// moment when callers move here before the others know.
func (m *Meter) Fraction(nodes int) float64 {
	mine, other := float64(m.mine.Load()), float64(m.other.Load())
	floor := 0.5 / float64(max(1, nodes))
	if mine+other < 1 {
		return floor + 1/float64(max(1, nodes))
	}
	return min(1, mine/(mine+other)+floor)
}

// Usage is the plug-in.
type Usage struct {
	mesh   *mesh.Mesh
	meters sync.Map
	others map[string]map[string]int64
}

func init() {
	kernel.Register(kernel.Registration{Rank: 55, Roles: []string{"node"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Usage{mesh: kernel.Find[*mesh.Mesh](k), others: map[string]map[string]int64{}}
	}})
}

// Of returns the meter of an index and kind; any thread may ask.
func (u *Usage) Of(index, kind string) *Meter {
	key := index + "\x00" + kind
	if v, ok := u.meters.Load(key); ok {
		return v.(*Meter)
	}
	v, _ := u.meters.LoadOrStore(key, new(Meter))
	return v.(*Meter)
}

// Name is the plug-in's name.
func (u *Usage) Name() string { return "usage" }

// Kinds are the frames that it takes: none.
func (u *Usage) Kinds() []uint8 { return nil }

// Step takes one input.
func (u *Usage) Step(t *kernel.Turn, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		t.After(tellEvery, "usage", "tell")
	case kernel.Tick:
		t.After(tellEvery, "usage", "tell")
		u.tell(t)
	case mesh.Stored:
		if v.Entry.Type == "usage" && !v.Own {
			var r wire.UsageReport
			if wire.Decode(v.Entry.Body, &r) == nil {
				u.others[v.Origin] = r.Rates
			}
		}
	case mesh.Forgotten:
		delete(u.others, v.Origin)
	}
}

func (u *Usage) tell(t *kernel.Turn) {
	report := wire.UsageReport{Rates: map[string]int64{}}
	moved := false
	u.meters.Range(func(k, v any) bool {
		key, m := k.(string), v.(*Meter)
		n := m.came.Load()
		m.rate += (float64(n-m.last) - m.rate) / 3
		m.last = n
		moved = moved || m.rate > 1.2*m.told+0.5 || m.rate < 0.8*m.told-0.5
		report.Rates[key] = int64(m.rate * 10)
		var other int64
		for origin, rates := range u.others {
			if u.mesh.Live(origin, t.Now) {
				other += rates[key]
			}
		}
		m.mine.Store(int64(m.rate * 10))
		m.other.Store(other)
		t.Counts.Set(fmt.Sprintf("inquiries_per_10s{what=%q}", key), int64(m.rate*10))
		return true
	})
	if !moved {
		return
	}
	u.meters.Range(func(_, v any) bool { m := v.(*Meter); m.told = m.rate; return true })
	u.mesh.Announce(t, "usage", u.mesh.Self(), wire.Encode(&report), false)
}
