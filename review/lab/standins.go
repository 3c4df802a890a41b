package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// platform is a stand-in for the platform's API: it serves the list of backends (PROTOCOL.md, "Which backends there
// are").
type platform struct {
	mu      sync.Mutex
	members []member
}

// member is an entry of the platform's list.
type member struct {
	ID         string  `json:"member_id"`
	Pool       string  `json:"pool"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Revision   string  `json:"revision"`
	Capacity   int     `json:"capacity"`
	AdminState string  `json:"admin_state"`
	SlowStart  float64 `json:"slow_start_ms"`
}

// serve serves the list on an address until the program ends.
func (p *platform) serve(address string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /members", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(map[string]any{"members": p.members, "next_token": nil})
	})
	return serveHTTP(address, mux)
}

// setMember adds a member, or replaces the member with the same id.
func (p *platform) setMember(m member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.members {
		if p.members[i].ID == m.ID {
			p.members[i] = m
			return
		}
	}
	p.members = append(p.members, m)
}

func serveHTTP(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go (&http.Server{Handler: handler}).Serve(listener)
	return nil
}

// backend is a stand-in for a healthy backend (PROTOCOL.md, "Backends"): it runs the requests addressed to it and
// returns a sealed response after the duration that work returns.
type backend struct {
	rec  *record
	id   string
	work func() time.Duration
	// pool and body are set if the backend serves a shard: pool is the service named in its seals, body its records.
	pool, body string
	// slots, if set, limits the requests that run at the same time to its capacity. The same number of requests can be
	// queued; further requests are rejected.
	slots   chan struct{}
	waiting atomic.Int64
	// ran maps the id of each attempt to the number of times that the backend ran it.
	ran  *sync.Map
	runs atomic.Int64
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Member-Id", b.id)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	if target := r.Header.Get("Target-Member"); target != "" && target != b.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if b.slots != nil {
		if b.waiting.Add(1) > 2*int64(cap(b.slots)) {
			b.waiting.Add(-1)
			b.rec.event("backend %s has a full queue and rejects %s", b.id, attempt)
			w.Header().Set("Attempt-Id", attempt)
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer b.waiting.Add(-1)
		b.slots <- struct{}{}
		defer func() { <-b.slots }()
	}
	b.rec.event("backend %s runs %s %s %s, %d bytes", b.id, attempt, r.Method, r.URL.RequestURI(), len(body))
	n := b.runs.Add(1)
	b.count(attempt)
	time.Sleep(b.work())
	w.Header().Set("Attempt-Id", attempt)
	if b.pool != "" {
		w.Header().Set("Answer-Seal", fmt.Sprintf("%s.%s.%x", b.id, b.pool, n))
		io.WriteString(w, b.body)
		return
	}
	w.Header().Set("Answer-Seal", fmt.Sprintf("%s.%x", b.id, n))
	fmt.Fprintf(w, "answer of %s to %s\n", b.id, attempt)
}

// count adds one to the runs of an attempt.
func (b *backend) count(attempt string) {
	times, _ := b.ran.LoadOrStore(attempt, new(atomic.Int64))
	times.(*atomic.Int64).Add(1)
}
