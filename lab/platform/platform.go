// Package platform is a stand-in for the hosting platform. It serves a lagging, rate-limited list of backends, and a
// list of nodes with their zones and readiness.
package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"wallport/runtime/wire"
)

// Config holds the platform's options: LagMs is the lag of the list, Allowed the maximum number of calls to the list in
// 10 s.
type Config struct {
	Addr    string `long:"addr" required:"yes" description:"IP:port"`
	LagMs   int    `long:"lag-ms" default:"300" description:"how old the list is"`
	Allowed int    `long:"allowed-per-10s" default:"20" description:"calls to the list allowed in 10 s"`
}

// Node is a node on the platform's list.
type Node struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Caller string `json:"caller"`
	Ready  bool   `json:"ready"`
}

// publishedList is a list of backends and the time at which the platform received it.
type publishedList struct {
	at   time.Time
	list wire.BackendList
}

// Platform is a stand-in for the hosting platform.
type Platform struct {
	config    Config
	mu        sync.Mutex
	published []publishedList
	calls     []time.Time
	rejected  int
	nodes     []Node
	mode      string
}

// New returns a platform that does not listen yet.
func New(c Config) *Platform { return &Platform{config: c} }

// Run serves until the listener fails.
func (p *Platform) Run() error {
	l, err := net.Listen("tcp", p.config.Addr)
	if err != nil {
		return err
	}
	go p.pollReadiness()
	m := http.NewServeMux()
	m.HandleFunc("GET /list", p.serveList)
	m.HandleFunc("GET /nodes", p.serveNodes)
	m.HandleFunc("POST /lab/servers", func(w http.ResponseWriter, r *http.Request) {
		var l wire.BackendList
		if json.NewDecoder(r.Body).Decode(&l) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		p.published = append(p.published, publishedList{time.Now(), l})
		if len(p.published) > 64 {
			p.published = p.published[1:]
		}
		p.mu.Unlock()
	})
	m.HandleFunc("POST /lab/nodes", func(w http.ResponseWriter, r *http.Request) {
		var n []Node
		if json.NewDecoder(r.Body).Decode(&n) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		p.nodes = n
		p.mu.Unlock()
	})
	m.HandleFunc("POST /lab/mode/{mode}", func(_ http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.mode = r.PathValue("mode")
		p.mu.Unlock()
	})
	m.HandleFunc("GET /lab/report", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		json.NewEncoder(w).Encode(map[string]int{"shed": p.rejected, "calls_10s": len(p.calls)})
	})
	return http.Serve(l, m)
}

// serveList serves the newest list that is at least as old as the lag, an empty list in mode "empty", and an error in
// mode "fail" or beyond the rate limit.
func (p *Platform) serveList(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.calls) > 0 && now.Sub(p.calls[0]) > 10*time.Second {
		p.calls = p.calls[1:]
	}
	if len(p.calls) >= p.config.Allowed {
		p.rejected++
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	p.calls = append(p.calls, now)
	switch p.mode {
	case "fail":
		w.WriteHeader(http.StatusInternalServerError)
		return
	case "empty":
		json.NewEncoder(w).Encode(wire.BackendList{Backends: []wire.Backend{}})
		return
	}
	var out wire.BackendList
	for _, s := range p.published {
		if now.Sub(s.at) >= time.Duration(p.config.LagMs)*time.Millisecond {
			out = s.list
		}
	}
	json.NewEncoder(w).Encode(out)
}

// serveNodes serves the list of nodes.
func (p *Platform) serveNodes(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	json.NewEncoder(w).Encode(p.nodes)
}

// pollReadiness polls the health of every node, each 300 ms after the previous poll has ended.
func (p *Platform) pollReadiness() {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	for {
		time.Sleep(300 * time.Millisecond)
		p.mu.Lock()
		nodes := append([]Node(nil), p.nodes...)
		p.mu.Unlock()
		var wg sync.WaitGroup
		for i := range nodes {
			wg.Add(1)
			go func() {
				defer wg.Done()
				resp, err := client.Get("http://" + nodes[i].Caller + "/condition")
				nodes[i].Ready = err == nil && resp.StatusCode == 200
				if err == nil {
					resp.Body.Close()
				}
			}()
		}
		wg.Wait()
		p.mu.Lock()
		if len(p.nodes) == len(nodes) {
			p.nodes = nodes
		}
		p.mu.Unlock()
	}
}
