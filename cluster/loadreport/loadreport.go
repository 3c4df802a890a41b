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
	reportInterval           = 1_000_000
	changeThreshold          = 0.2
	changeThresholdNearLimit = 0.06
	nearLimitFraction        = 0.7
	minJump                  = 5
)

// Meter counts the inquiries of one index and kind that came to this node.
type Meter struct {
	count        atomic.Int64
	lastCount    int64
	rate         float64
	reportedRate float64
	remoteRate   atomic.Int64
	localRate    atomic.Int64
	nearLimit    atomic.Bool
}

// Inc counts one inquiry.
func (m *Meter) Inc() { m.count.Add(1) }

// SetLimits tells the limits that hold for what is metered; near one of them the rate is
// told more exactly, since then the parts of the nodes have to add up to the whole.
func (m *Meter) SetLimits(a, b float64) {
	total := float64(m.localRate.Load()+m.remoteRate.Load()) / 10
	near := a > 0 && total > nearLimitFraction*a || b > 0 && total > nearLimitFraction*b
	if m.nearLimit.Load() != near {
		m.nearLimit.Store(near)
	}
}

// LocalLimit is this node's part of a limit, in inquiries a second: as much of it as the node
// has of the fleet's rate, an equal part while none is known. What the fleet as a whole
// leaves of the limit is open to callers who have just come here: to each node half.
func (m *Meter) LocalLimit(limit float64, nodes int) float64 {
	mine, other := float64(m.localRate.Load())/10, float64(m.remoteRate.Load())/10
	if mine+other < 0.1 {
		return limit / float64(max(1, nodes))
	}
	return limit*mine/(mine+other) + max(0, limit-mine-other)/2
}

// Reporter is the plug-in.
type Reporter struct {
	mesh        *mesh.Mesh
	meters      sync.Map
	remoteRates map[string]map[string]int64
}

func init() {
	kernel.Register(kernel.Registration{Rank: 55, Roles: []string{"node"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Reporter{mesh: kernel.Find[*mesh.Mesh](k), remoteRates: map[string]map[string]int64{}}
	}})
}

// Meter returns the meter of an index and kind; any thread may ask.
func (u *Reporter) Meter(index, kind string) *Meter {
	key := index + "\x00" + kind
	if v, ok := u.meters.Load(key); ok {
		return v.(*Meter)
	}
	v, _ := u.meters.LoadOrStore(key, new(Meter))
	return v.(*Meter)
}

// Name is the plug-in's name.
func (u *Reporter) Name() string { return "usage" }

// Kinds are the frames that it takes: none.
func (u *Reporter) Kinds() []uint8 { return nil }

// Step takes one input.
func (u *Reporter) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		ctx.After(reportInterval, "usage", "tell")
	case kernel.Tick:
		ctx.After(reportInterval, "usage", "tell")
		u.report(ctx)
	case mesh.Stored:
		if v.Entry.Type == "usage" && !v.Local {
			var r wire.LoadReport
			if wire.Decode(v.Entry.Body, &r) == nil {
				u.remoteRates[v.Origin] = r.Rates
			}
		}
	case mesh.Forgotten:
		delete(u.remoteRates, v.Origin)
	}
}

func (u *Reporter) report(ctx *kernel.Context) {
	report := wire.LoadReport{Rates: map[string]int64{}}
	moved := false
	u.meters.Range(func(k, v any) bool {
		key, m := k.(string), v.(*Meter)
		n := m.count.Load()
		if came := float64(n - m.lastCount); came > 2*m.rate+minJump {
			// Callers have moved here: that is not noise.
			m.rate = came
		} else {
			m.rate += (came - m.rate) / 2
		}
		m.lastCount = n
		by := changeThreshold
		if m.nearLimit.Load() {
			by = changeThresholdNearLimit
		}
		moved = moved || math.Abs(m.rate-m.reportedRate) > by*m.reportedRate+0.5
		report.Rates[key] = int64(m.rate * 10)
		var other int64
		for origin, rates := range u.remoteRates {
			if u.mesh.Live(origin, ctx.Now) {
				other += rates[key]
			}
		}
		m.localRate.Store(int64(m.rate * 10))
		m.remoteRate.Store(other)
		ctx.Counts.Set(fmt.Sprintf("inquiries_per_10s{what=%q}", key), int64(m.rate*10))
		return true
	})
	if !moved {
		return
	}
	u.meters.Range(func(_, v any) bool { m := v.(*Meter); m.reportedRate = m.rate; return true })
	u.mesh.Announce(ctx, "usage", u.mesh.Self(), wire.Encode(&report), false)
}
