// Package loadreport spreads each node's own rate of inquiries over the mesh, so
// that fleet-wide shares and ceilings can be split by who is really asked. It
// tells only when the rate moved by a fifth, or near a limit by less, and at most
// once a second.
package loadreport

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"

	"wallport/cluster/mesh"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of the telling: how often, by what part a rate must have moved, and what
// part of a limit is near it.
const (
	tellEvery = 1_000_000
	movedBy   = 0.2
	movedNear = 0.06
	nearAt    = 0.7
	jumpOver  = 5
)

// Meter counts the inquiries of one index and kind that came to this node.
type Meter struct {
	came  atomic.Int64
	last  int64
	rate  float64
	told  float64
	other atomic.Int64
	mine  atomic.Int64
	near  atomic.Bool
}

// Came counts one inquiry.
func (m *Meter) Came() { m.came.Add(1) }

// Bound tells the limits that hold for what is metered; near one of them the rate is
// told more exactly, since then the parts of the nodes have to add up to the whole.
func (m *Meter) Bound(a, b float64) {
	total := float64(m.mine.Load()+m.other.Load()) / 10
	near := a > 0 && total > nearAt*a || b > 0 && total > nearAt*b
	if m.near.Load() != near {
		m.near.Store(near)
	}
}

// Part is this node's part of a limit, in inquiries a second: as much of it as the node
// has of the fleet's rate, an equal part while none is known. What the fleet as a whole
// leaves of the limit is open to callers who have just come here: to each node half.
func (m *Meter) Part(limit float64, nodes int) float64 {
	mine, other := float64(m.mine.Load())/10, float64(m.other.Load())/10
	if mine+other < 0.1 {
		return limit / float64(max(1, nodes))
	}
	return limit*mine/(mine+other) + max(0, limit-mine-other)/2
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
func (u *Usage) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		ctx.After(tellEvery, "usage", "tell")
	case kernel.Tick:
		ctx.After(tellEvery, "usage", "tell")
		u.tell(ctx)
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

func (u *Usage) tell(ctx *kernel.Context) {
	report := wire.UsageReport{Rates: map[string]int64{}}
	moved := false
	u.meters.Range(func(k, v any) bool {
		key, m := k.(string), v.(*Meter)
		n := m.came.Load()
		if came := float64(n - m.last); came > 2*m.rate+jumpOver {
			// Callers have moved here: that is not noise.
			m.rate = came
		} else {
			m.rate += (came - m.rate) / 2
		}
		m.last = n
		by := movedBy
		if m.near.Load() {
			by = movedNear
		}
		moved = moved || math.Abs(m.rate-m.told) > by*m.told+0.5
		report.Rates[key] = int64(m.rate * 10)
		var other int64
		for origin, rates := range u.others {
			if u.mesh.Live(origin, ctx.Now) {
				other += rates[key]
			}
		}
		m.mine.Store(int64(m.rate * 10))
		m.other.Store(other)
		ctx.Counts.Set(fmt.Sprintf("inquiries_per_10s{what=%q}", key), int64(m.rate*10))
		return true
	})
	if !moved {
		return
	}
	u.meters.Range(func(_, v any) bool { m := v.(*Meter); m.told = m.rate; return true })
	u.mesh.Announce(ctx, "usage", u.mesh.Self(), wire.Encode(&report), false)
}
