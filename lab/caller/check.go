// The exact check of every answer that a caller gets.

package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"wallport/lab/platform"
	"wallport/lab/records"
	"wallport/request/search"
	"wallport/runtime/clock"
)

type merged struct {
	Request  string          `json:"inquiry"`
	ShardMap string          `json:"cut"`
	Shards   []int           `json:"shards"`
	Missing  []int           `json:"missing"`
	Records  []search.Record `json:"records"`
}

type single struct {
	ShardMap string        `json:"cut"`
	Shard    int           `json:"shard"`
	Record   search.Record `json:"record"`
	Repeat   bool          `json:"repeat"`
}

type fault struct {
	Name, Message, Ran string
}

func (k *Caller) checkResponse(o request, n platform.Node, resp *http.Response, body []byte, took time.Duration) {
	if took.Microseconds() > o.deadline+150*clock.Millisecond {
		k.summary.Late++
	}
	if resp.StatusCode != http.StatusOK {
		var f fault
		if json.Unmarshal(body, &f) != nil || f.Name == "" {
			k.wrong("%s: status %d without a code: %.80q", o.kind, resp.StatusCode, body)
			return
		}
		k.summary.Outcomes[string(o.kind)+" "+f.Name]++
		code := search.Code(f.Name)
		retry := code == search.CodeUnavailable || code == search.CodeGivenUp || code == search.CodeRateLimited
		if retry && resp.Header.Get("Retry-After") == "" {
			k.wrong("%s: %s without Retry-After", o.kind, f.Name)
		}
		if f.Ran == "no" && o.key != "" && code != search.CodeConflict && !o.repeat {
			k.refusedKeys[o.key] = true
		}
		return
	}
	k.summary.Outcomes[string(o.kind)+" ok"]++
	k.summary.Seconds[fmt.Sprintf("%03d", int(time.Since(k.began).Seconds()))]++
	k.latencies = append(k.latencies, took.Microseconds())
	if o.kind == search.KindSearch {
		k.checkSearch(o, body)
		return
	}
	var s single
	if err := json.Unmarshal(body, &s); err != nil {
		k.wrong("%s: %v", o.kind, err)
		return
	}
	if s.Repeat {
		k.summary.Outcomes[string(o.kind)+" repeat"]++
		return
	}
	if want, _ := records.Of(o.record); s.Record != want {
		k.wrong("%s of %s got %+v", o.kind, o.record, s.Record)
	}
}

func (k *Caller) checkSearch(o request, body []byte) {
	var m merged
	if err := json.Unmarshal(body, &m); err != nil {
		k.wrong("search: %v", err)
		return
	}
	if len(m.Missing) > 0 {
		k.summary.Partial++
	}
	k.summary.Outcomes["cut "+m.ShardMap]++
	shards := len(m.Shards) + len(m.Missing)
	if want, ok := k.shards[m.ShardMap]; len(k.shards) > 0 && (!ok || want != shards) {
		k.wrong("search: cut %q with %d shards", m.ShardMap, shards)
		return
	}
	sorted := slices.Clone(m.Shards)
	slices.Sort(sorted)
	if len(slices.Compact(sorted)) != len(m.Shards) {
		k.wrong("search: a shard twice: %v", m.Shards)
	}
	want := records.Merged(k.config.Index, o.query, o.limit, m.Shards, shards)
	if !slices.Equal(want, m.Records) {
		k.wrong("search %s of %s: %d records differ from the %d expected", o.query, m.Request, len(m.Records), len(want))
	}
}

func (k *Caller) wrong(text string, args ...any) {
	k.summary.WrongN++
	if len(k.summary.Wrong) < 20 {
		k.summary.Wrong = append(k.summary.Wrong, fmt.Sprintf(text, args...))
	}
}
