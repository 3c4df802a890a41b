// The simulated platform: an endpoint list that lags and is rate-limited, and the list of the ready nodes that
// callers may use.

package sim

import (
	"encoding/json"

	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

type publishedList struct {
	at   clock.Micros
	list wire.BackendList
}

type platform struct {
	sim       *Simulation
	published []publishedList
	calls     []int64
	lag       clock.Micros
	callLimit int64
	mode      string
}

func (p *platform) init(sim *Simulation) {
	p.sim, p.lag, p.callLimit = sim, sim.Script.Int("lag_us", 300*clock.Millisecond), sim.Script.Int("allowed_per_10s", 20)
}

// publish records the current servers; the platform's list shows them after the lag.
func (p *platform) publish() {
	l := wire.BackendList{}
	for _, id := range p.sim.serverIDs {
		s := p.sim.servers[id]
		row := s.row
		// The row is copied because a published list must not change later.
		l.Backends = append(l.Backends, row)
		if row.State == "leaving" {
			p.sim.Checker.BackendDrains(id, p.sim.now+p.lag)
		}
	}
	p.published = append(p.published, publishedList{p.sim.now, l})
}

func (p *platform) serveList() (int, []byte) {
	now := p.sim.now
	for len(p.calls) > 0 && now-p.calls[0] > 10*clock.Second {
		p.calls = p.calls[1:]
	}
	p.sim.Checker.Count("platform_calls", 1)
	if int64(len(p.calls)) >= p.callLimit {
		p.sim.Checker.Count("platform_shed", 1)
		return 429, nil
	}
	p.calls = append(p.calls, now)
	switch p.mode {
	case "fail":
		return 500, nil
	case "empty":
		return 200, []byte(`{"servers":[]}`)
	}
	var out wire.BackendList
	for _, l := range p.published {
		if now-l.at >= p.lag || l.at == 0 {
			out = l.list
		}
	}
	b, err := json.Marshal(out)
	if err != nil {
		return 500, nil
	}
	return 200, b
}

// ready returns the nodes that the platform assigns to callers: running, ready, not draining and not in a drained
// zone.
func (p *platform) ready() []*process {
	var out []*process
	for _, name := range p.sim.names {
		q := p.sim.processes[name]
		if q.role != roleNode || !q.running() || q.draining {
			continue
		}
		if cp := q.snapshots.Current(); cp.Ready() && !cp.ZoneDrained {
			out = append(out, q)
		}
	}
	return out
}
