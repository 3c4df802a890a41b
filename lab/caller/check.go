// Checks of the responses: form, error code, and the records of successful responses.

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

// searchResponse is the response to a search.
type searchResponse struct {
	Request  string          `json:"inquiry"`
	ShardMap string          `json:"cut"`
	Shards   []int           `json:"shards"`
	Missing  []int           `json:"missing"`
	Records  []search.Record `json:"records"`
}

// recordResponse is the response to a request for one record.
type recordResponse struct {
	ShardMap string        `json:"cut"`
	Shard    int           `json:"shard"`
	Record   search.Record `json:"record"`
	Repeat   bool          `json:"repeat"`
}

// errorResponse is the body of a response with a status other than 200.
type errorResponse struct {
	Name, Message, Ran string
}

// checkResponse checks a response and counts its outcome. The caller holds the lock.
func (k *Caller) checkResponse(o request, n platform.Node, resp *http.Response, body []byte, elapsed time.Duration) {
	if elapsed.Microseconds() > o.deadline+150*clock.Millisecond {
		k.summary.Late++
	}
	if resp.StatusCode != http.StatusOK {
		var f errorResponse
		if json.Unmarshal(body, &f) != nil || f.Name == "" {
			k.recordWrong("%s: status %d without a code: %.80q", o.kind, resp.StatusCode, body)
			return
		}
		k.summary.Outcomes[string(o.kind)+" "+f.Name]++
		code := search.Code(f.Name)
		retry := code == search.CodeUnavailable || code == search.CodeGivenUp || code == search.CodeRateLimited
		if retry && resp.Header.Get("Retry-After") == "" {
			k.recordWrong("%s: %s without Retry-After", o.kind, f.Name)
		}
		if f.Ran == "no" && o.key != "" && code != search.CodeConflict && !o.repeat {
			k.refusedKeys[o.key] = true
		}
		return
	}
	k.summary.Outcomes[string(o.kind)+" ok"]++
	k.summary.Seconds[fmt.Sprintf("%03d", int(time.Since(k.began).Seconds()))]++
	k.latencies = append(k.latencies, elapsed.Microseconds())
	if o.kind == search.KindSearch {
		k.checkSearch(o, body)
		return
	}
	var s recordResponse
	if err := json.Unmarshal(body, &s); err != nil {
		k.recordWrong("%s: invalid response body: %v", o.kind, err)
		return
	}
	if s.Repeat {
		k.summary.Outcomes[string(o.kind)+" repeat"]++
		return
	}
	if want, _ := records.Lookup(o.record); s.Record != want {
		k.recordWrong("%s of %s: unexpected record %+v", o.kind, o.record, s.Record)
	}
}

// checkSearch compares a search response with the expected merge of the shards that it names.
func (k *Caller) checkSearch(o request, body []byte) {
	var m searchResponse
	if err := json.Unmarshal(body, &m); err != nil {
		k.recordWrong("search: invalid response body: %v", err)
		return
	}
	if len(m.Missing) > 0 {
		k.summary.Partial++
	}
	k.summary.Outcomes["cut "+m.ShardMap]++
	shards := len(m.Shards) + len(m.Missing)
	if want, ok := k.shards[m.ShardMap]; len(k.shards) > 0 && (!ok || want != shards) {
		k.recordWrong("search: response from shard map %q with %d shards is not expected", m.ShardMap, shards)
		return
	}
	sorted := slices.Clone(m.Shards)
	slices.Sort(sorted)
	if len(slices.Compact(sorted)) != len(m.Shards) {
		k.recordWrong("search: duplicate shard in response: %v", m.Shards)
	}
	want := records.Merged(k.config.Index, o.query, o.limit, m.Shards, shards)
	if !slices.Equal(want, m.Records) {
		k.recordWrong("search %s of request %s: the %d records differ from the %d expected ones", o.query, m.Request, len(m.Records), len(want))
	}
}

// recordWrong counts a wrong response and keeps the descriptions of the first 20.
func (k *Caller) recordWrong(text string, args ...any) {
	k.summary.WrongN++
	if len(k.summary.Wrong) < 20 {
		k.summary.Wrong = append(k.summary.Wrong, fmt.Sprintf(text, args...))
	}
}
