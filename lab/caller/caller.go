// Package caller is a load generator that stands in for many callers. It sends searches, reads, corrections and part
// fetches at a constant rate and sends some of them a second time with the same idempotency key through a randomly
// chosen node. Every response is checked; a successful response must contain exactly the expected records, unless it is
// the recorded response to a request that was sent a second time.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"wallport/lab/platform"
	"wallport/lab/records"
	"wallport/request/search"
	"wallport/runtime/clock"
)

// Config holds the callers' options.
type Config struct {
	Platform    string       `long:"platform" required:"yes" description:"URL of the platform that hands out nodes"`
	Index       string       `long:"index" required:"yes" description:"index to ask"`
	Rate        float64      `long:"rate" default:"530" description:"inquiries a second"`
	Seconds     float64      `long:"seconds" default:"10" description:"how long"`
	MinDeadline clock.Micros `long:"deadline-least-us" default:"250000" description:"shortest deadline"`
	MaxDeadline clock.Micros `long:"deadline-most-us" default:"1500000" description:"longest deadline"`
	Repeat      float64      `long:"repeat" default:"0.05" description:"share of keyed inquiries sent again through another node"`
	Seed        uint64       `long:"seed" default:"1" description:"seed"`
	ShardMaps   string       `long:"cuts" default:"" description:"cut=shards pairs that may answer, comma separated; empty trusts any"`
}

// Summary is the outcome of a run; latencies are in microseconds.
type Summary struct {
	Sent      int              `json:"sent"`
	Outcomes  map[string]int   `json:"outcomes"`
	Wrong     []string         `json:"wrong"`
	WrongN    int              `json:"wrong_n"`
	Partial   int              `json:"partial"`
	Repeats   int              `json:"repeats"`
	Late      int              `json:"late"`
	Aborted   int              `json:"cut_connections"`
	LatencyUs map[string]int64 `json:"latency_us"`
	Seconds   map[string]int   `json:"ok_by_second"`
	Refused   []string         `json:"-"`
}

// Caller sends requests and checks the responses.
type Caller struct {
	config      Config
	client      *http.Client
	rng         *rand.Rand
	mu          sync.Mutex
	nodes       []platform.Node
	summary     Summary
	latencies   []int64
	refusedKeys map[string]bool
	began       time.Time
	shards      map[string]int
}

// New returns a caller.
func New(c Config) *Caller {
	k := &Caller{
		config: c, rng: rand.New(rand.NewPCG(c.Seed, 7)), refusedKeys: map[string]bool{}, shards: map[string]int{},
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 5 * time.Second}},
		summary: Summary{Outcomes: map[string]int{}, LatencyUs: map[string]int64{}, Seconds: map[string]int{}, Wrong: []string{}, Refused: []string{}},
	}
	for _, kv := range bytes.Split([]byte(c.ShardMaps), []byte(",")) {
		if name, n, ok := bytes.Cut(kv, []byte("=")); ok {
			shards := 0
			fmt.Sscan(string(n), &shards)
			k.shards[string(name)] = shards
		}
	}
	return k
}

// Run sends requests for the configured time, waits for all responses and returns the summary.
func (k *Caller) Run(ctx context.Context) Summary {
	k.began = time.Now()
	k.refreshNodes()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(k.config.Seconds*float64(time.Second)))
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(250 * time.Millisecond)
			k.refreshNodes()
		}
	}()
	var wg sync.WaitGroup
	gap := time.Duration(float64(time.Second) / k.config.Rate)
	next := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Until(next))
		next = next.Add(gap)
		o := k.drawRequest(n)
		wg.Add(1)
		go func() {
			defer wg.Done()
			k.send(o)
		}()
	}
	wg.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	slices.Sort(k.latencies)
	for name, q := range map[string]float64{"p50": 0.5, "p90": 0.9, "p99": 0.99, "p999": 0.999} {
		if len(k.latencies) > 0 {
			k.summary.LatencyUs[name] = k.latencies[int(q*float64(len(k.latencies)-1))]
		}
	}
	for key := range k.refusedKeys {
		k.summary.Refused = append(k.summary.Refused, key)
	}
	return k.summary
}

// refreshNodes reads the ready nodes from the platform. It keeps the known nodes if none is ready.
func (k *Caller) refreshNodes() {
	resp, err := k.client.Get(k.config.Platform + "/nodes")
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var nodes []platform.Node
	if json.NewDecoder(resp.Body).Decode(&nodes) != nil {
		return
	}
	nodes = slices.DeleteFunc(nodes, func(n platform.Node) bool { return !n.Ready })
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(nodes) > 0 {
		k.nodes = nodes
	}
}

// request is a request with its options. nodes[0] is the node to which it is sent first, nodes[1] the node to which it
// is sent a second time if repeat is set.
type request struct {
	kind               search.Kind
	key, record, query string
	limit              int
	deadline           clock.Micros
	repeat             bool
	nodes              [2]platform.Node
}

// drawRequest draws the n-th request: two thirds of all requests are searches, a sixth are reads, a twelfth are
// corrections and a twelfth are part fetches.
func (k *Caller) drawRequest(n int) request {
	k.mu.Lock()
	defer k.mu.Unlock()
	o := request{kind: search.KindSearch, limit: 10 + k.rng.IntN(20), query: fmt.Sprintf("q%d", k.rng.IntN(1000)), record: records.ID(k.rng.IntN(records.Size))}
	o.deadline = k.config.MinDeadline + k.rng.Int64N(k.config.MaxDeadline-k.config.MinDeadline+1)
	switch r := k.rng.Float64(); {
	case r < 2.0/3:
	case r < 2.0/3+1.0/6:
		o.kind = search.KindRead
	case r < 2.0/3+1.0/4:
		o.kind = search.KindCorrect
	default:
		o.kind = search.KindPart
	}
	if o.kind == search.KindCorrect || o.kind == search.KindPart {
		o.key = fmt.Sprintf("key-%d-%d", k.config.Seed, n)
		o.repeat = k.rng.Float64() < k.config.Repeat
	}
	if len(k.nodes) > 0 {
		o.nodes = [2]platform.Node{k.nodes[k.rng.IntN(len(k.nodes))], k.nodes[k.rng.IntN(len(k.nodes))]}
	}
	return o
}

// send sends a request and, if its field repeat is set, sends it a second time.
func (k *Caller) send(o request) {
	k.sendOnce(o, o.nodes[0])
	if o.repeat {
		k.mu.Lock()
		k.summary.Repeats++
		k.mu.Unlock()
		k.sendOnce(o, o.nodes[1])
	}
}

// sendOnce sends a request to a node and checks the response.
func (k *Caller) sendOnce(o request, n platform.Node) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(o.deadline)*time.Microsecond+2*time.Second)
	defer cancel()
	base := "http://" + n.Caller + "/v1/indexes/" + k.config.Index
	var req *http.Request
	post := func(path string, v map[string]any) {
		v["deadline_us"] = o.deadline
		b, _ := json.Marshal(v)
		req, _ = http.NewRequestWithContext(ctx, http.MethodPost, base+path, struct{ io.Reader }{bytes.NewReader(b)})
		req.ContentLength = int64(len(b))
		req.Header.Set("Content-Type", "application/json")
	}
	switch o.kind {
	case search.KindSearch:
		post("/search", map[string]any{"query": o.query, "limit": o.limit})
	case search.KindRead:
		req, _ = http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s/records/%s?deadline_us=%d", base, o.record, o.deadline), nil)
	case search.KindCorrect:
		post("/records/"+o.record+"/corrections", map[string]any{"body": "correction " + o.key})
	default:
		post("/records/"+o.record+"/parts/3", map[string]any{})
	}
	if o.key != "" {
		req.Header["Idempotency-Key"] = []string{o.key}
	}
	resp, err := k.client.Do(req)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	elapsed := time.Since(began)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.summary.Sent++
	if err != nil {
		k.summary.Aborted++
		k.summary.Outcomes["connection"]++
		return
	}
	k.checkResponse(o, n, resp, body, elapsed)
}
