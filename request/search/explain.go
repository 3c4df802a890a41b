package search

import (
	"slices"

	"wallport/request/snapshot"
)

// Explanation is the response of the explain API.
type Explanation struct {
	*Trace
	Version    string      `json:"stamp"`
	ShardMap   string      `json:"cut"`
	Outcome    Outcome     `json:"outcome"`
	Candidates []Candidate `json:"candidates"`
}

// Candidate describes a backend according to the request's snapshot, and states why the backend was
// or was not selected.
type Candidate struct {
	Shard             int    `json:"shard"`
	Backend           string `json:"server"`
	Zone              string `json:"zone"`
	Health            string `json:"verdict"`
	WarmthThousandths int64  `json:"warm_thousandths"`
	Reason            string `json:"why"`
}

// The reasons why a candidate was or was not selected, as the API returns them.
const (
	reasonNotSampled = "in the draw, not drawn"
	reasonHigherCost = "drawn, the other cost less"
	reasonSelected   = "picked"
	reasonRetried    = "picked for a re-ask"
	reasonUnhealthy  = "condition is "
)

// Explain returns a trace together with the candidates of every shard for which a backend was
// selected. versionText formats the version of the request's snapshot.
func Explain(t *Trace, versionText func(*snapshot.Snapshot) string) Explanation {
	e := Explanation{Trace: t, Outcome: t.Outcome, Candidates: []Candidate{}}
	if t.snapshot == nil {
		return e
	}
	e.Version = versionText(t.snapshot)
	index := t.snapshot.Indexes[t.Index]
	if index == nil {
		return e
	}
	e.ShardMap = index.ShardMap.Name
	selected := map[int]bool{}
	for i := range t.Attempts {
		selected[t.Attempts[i].Shard] = true
	}
	for shard, backends := range index.Shards {
		if !selected[shard] {
			continue
		}
		for _, s := range backends {
			e.Candidates = append(e.Candidates, explainCandidate(t, index, shard, s))
		}
	}
	return e
}

func explainCandidate(t *Trace, index *snapshot.Index, shard int, backend *snapshot.Backend) Candidate {
	c := Candidate{
		Shard: shard, Backend: backend.ID, Zone: backend.Zone, Health: backend.Health.String(),
		WarmthThousandths: backend.SlowStartShare(t.StartedAt, index.Service.RampUs),
	}
	c.Reason = reasonNotSampled
	if backend.Health != snapshot.Healthy {
		c.Reason = reasonUnhealthy + c.Health
	}
	for i := range t.Attempts {
		attempt := &t.Attempts[i]
		switch {
		case attempt.Backend == backend.ID && attempt.Retry:
			c.Reason = reasonRetried
		case attempt.Backend == backend.ID:
			c.Reason = reasonSelected
		case attempt.Shard == shard && slices.Contains(attempt.Sampled, backend.ID) && c.Reason == reasonNotSampled:
			c.Reason = reasonHigherCost
		}
	}
	return c
}
