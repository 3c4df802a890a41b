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
)

type merged struct {
	Inquiry string          `json:"inquiry"`
	Cut     string          `json:"cut"`
	Shards  []int           `json:"shards"`
	Missing []int           `json:"missing"`
	Records []search.Record `json:"records"`
}

type single struct {
	Cut    string        `json:"cut"`
	Shard  int           `json:"shard"`
	Record search.Record `json:"record"`
	Repeat bool          `json:"repeat"`
}

type fault struct {
	Name, Message, Ran string
}

func (k *Caller) judge(o order, n platform.Node, resp *http.Response, body []byte, took time.Duration) {
	if took.Microseconds() > o.deadline+150_000 {
		k.sum.Late++
	}
	if resp.StatusCode != http.StatusOK {
		var f fault
		if json.Unmarshal(body, &f) != nil || f.Name == "" {
			k.wrong("%s: status %d without a code: %.80q", o.kind, resp.StatusCode, body)
			return
		}
		k.sum.Outcomes[o.kind+" "+f.Name]++
		retry := f.Name == search.Shed || f.Name == search.GivenUp || f.Name == search.OverCeiling
		if retry && resp.Header.Get("Retry-After") == "" {
			k.wrong("%s: %s without Retry-After", o.kind, f.Name)
		}
		if f.Ran == "no" && o.key != "" && f.Name != search.Conflict && !o.repeat {
			k.refuse[o.key] = true
		}
		return
	}
	k.sum.Outcomes[o.kind+" ok"]++
	k.sum.Seconds[fmt.Sprintf("%03d", int(time.Since(k.began).Seconds()))]++
	k.lat = append(k.lat, took.Microseconds())
	if o.kind == search.Search {
		k.judgeSearch(o, body)
		return
	}
	var s single
	if err := json.Unmarshal(body, &s); err != nil {
		k.wrong("%s: %v", o.kind, err)
		return
	}
	if s.Repeat {
		k.sum.Outcomes[o.kind+" repeat"]++
		return
	}
	if want, _ := records.Of(o.record); s.Record != want {
		k.wrong("%s of %s got %+v", o.kind, o.record, s.Record)
	}
}

func (k *Caller) judgeSearch(o order, body []byte) {
	var m merged
	if err := json.Unmarshal(body, &m); err != nil {
		k.wrong("search: %v", err)
		return
	}
	if len(m.Missing) > 0 {
		k.sum.Partial++
	}
	k.sum.Outcomes["cut "+m.Cut]++
	shards := len(m.Shards) + len(m.Missing)
	if want, ok := k.shards[m.Cut]; len(k.shards) > 0 && (!ok || want != shards) {
		k.wrong("search: cut %q with %d shards", m.Cut, shards)
		return
	}
	sorted := slices.Clone(m.Shards)
	slices.Sort(sorted)
	if len(slices.Compact(sorted)) != len(m.Shards) {
		k.wrong("search: a shard twice: %v", m.Shards)
	}
	want := records.Merged(k.c.Index, o.query, o.limit, m.Shards, shards)
	if !slices.Equal(want, m.Records) {
		k.wrong("search %s of %s: %d records differ from the %d expected", o.query, m.Inquiry, len(m.Records), len(want))
	}
}

func (k *Caller) wrong(text string, args ...any) {
	k.sum.WrongN++
	if len(k.sum.Wrong) < 20 {
		k.sum.Wrong = append(k.sum.Wrong, fmt.Sprintf(text, args...))
	}
}
