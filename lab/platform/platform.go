// Package platform is the stand-in of the hosting platform: it keeps a lagging
// list of backends that allows few calls, and hands out ready nodes by zone.
package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"wallport/runtime/wire"
)

// Config is the platform's manner.
type Config struct {
	Addr    string `long:"addr" required:"yes" description:"IP:port"`
	LagMs   int    `long:"lag-ms" default:"300" description:"how old the list is"`
	Allowed int    `long:"allowed-per-10s" default:"20" description:"calls to the list allowed in 10 s"`
}

// Node is a node as the platform hands it out.
type Node struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Caller string `json:"caller"`
	Ready  bool   `json:"ready"`
}

type shown struct {
	at   time.Time
	list wire.BackendList
}

// Platform is the stand-in.
type Platform struct {
	c     Config
	mu    sync.Mutex
	lists []shown
	calls []time.Time
	shed  int
	nodes []Node
	mode  string
}

// New makes a platform.
func New(c Config) *Platform { return &Platform{c: c} }

// Run serves until the listener fails.
func (p *Platform) Run() error {
	l, err := net.Listen("tcp", p.c.Addr)
	if err != nil {
		return err
	}
	go p.watch()
	m := http.NewServeMux()
	m.HandleFunc("GET /list", p.list)
	m.HandleFunc("GET /nodes", p.handOut)
	m.HandleFunc("POST /lab/servers", func(w http.ResponseWriter, r *http.Request) {
		var l wire.BackendList
		if json.NewDecoder(r.Body).Decode(&l) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		p.lists = append(p.lists, shown{time.Now(), l})
		if len(p.lists) > 64 {
			p.lists = p.lists[1:]
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
		json.NewEncoder(w).Encode(map[string]int{"shed": p.shed, "calls_10s": len(p.calls)})
	})
	return http.Serve(l, m)
}

// list answers with the newest list that is old enough to be known.
func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.calls) > 0 && now.Sub(p.calls[0]) > 10*time.Second {
		p.calls = p.calls[1:]
	}
	if len(p.calls) >= p.c.Allowed {
		p.shed++
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
	for _, s := range p.lists {
		if now.Sub(s.at) >= time.Duration(p.c.LagMs)*time.Millisecond {
			out = s.list
		}
	}
	json.NewEncoder(w).Encode(out)
}

func (p *Platform) handOut(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	json.NewEncoder(w).Encode(p.nodes)
}

// watch asks every node for its condition.
func (p *Platform) watch() {
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
