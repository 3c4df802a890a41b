// Package backend is a stand-in index server. It serves requests and health checks, counts the requests that it runs, is
// slower for some time after a start, and can be made to misbehave in each of the ways that the product must tolerate.
package backend

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"wallport/lab/records"
	"wallport/request/healthcheck"
	"wallport/request/httpapi"
	"wallport/request/search"
	"wallport/runtime/clock"
)

// Config holds a server's address, content and speed. ServiceTime is the processing time in microseconds after the slow
// start, SlowStart the length of the slow start.
type Config struct {
	ID          string       `long:"id" required:"yes" description:"server id"`
	Addr        string       `long:"addr" required:"yes" description:"IP:port"`
	Index       string       `long:"index" required:"yes" description:"index"`
	ShardMap    string       `long:"cut" required:"yes" description:"cut"`
	Shard       int          `long:"shard" description:"shard"`
	Shards      int          `long:"shards" required:"yes" description:"shards of the cut"`
	ServiceTime clock.Micros `long:"took-us" default:"2000" description:"microseconds an answer takes when warm"`
	Journal     string       `long:"journal" description:"file to note every run in, which outlives this process"`
	SlowStart   clock.Micros `long:"ramp-us" default:"3000000" description:"microseconds until warm; cold answers take up to five times as long"`
}

// Fault is a mode of misbehaviour, "" for none; Us is the processing time in mode "slow", in microseconds.
type Fault struct {
	Mode string       `json:"mode"`
	Us   clock.Micros `json:"us"`
}

// Report holds a server's counters for the checkers: the requests received, the searches, the time of the last request,
// and how often each key was executed.
type Report struct {
	ID       string         `json:"id"`
	Asked    int64          `json:"asked"`
	Searches int64          `json:"searches"`
	Last     clock.Micros   `json:"last_us"`
	Ran      map[string]int `json:"ran"`
}

// Server is a stand-in index server.
type Server struct {
	config   Config
	began    time.Time
	busy     atomic.Int64
	asked    atomic.Int64
	searches atomic.Int64
	last     atomic.Int64
	fault    atomic.Pointer[Fault]
	mu       sync.Mutex
	ran      map[string]int
	journal  *os.File
}

// New returns a server that does not listen yet.
func New(c Config) *Server {
	s := &Server{config: c, began: time.Now(), ran: map[string]int{}}
	s.fault.Store(&Fault{})
	return s
}

// Run serves until the listener fails.
func (s *Server) Run() error {
	if s.config.Journal != "" {
		f, err := os.OpenFile(s.config.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		s.journal = f
	}
	l, err := net.Listen("tcp", s.config.Addr)
	if err != nil {
		return err
	}
	return http.Serve(l, s.Handler())
}

// Handler returns the server's HTTP handler.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /condition", s.serveHealth)
	m.HandleFunc("POST /v1/{kind}", s.serve)
	m.HandleFunc("GET /lab/report", s.report)
	m.HandleFunc("POST /lab/fault", func(w http.ResponseWriter, r *http.Request) {
		f := new(Fault)
		if json.NewDecoder(r.Body).Decode(f) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.fault.Store(f)
	})
	return m
}

// serveHealth serves a health check.
func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	if s.fault.Load().Mode == "hang" {
		<-r.Context().Done()
		return
	}
	json.NewEncoder(w).Encode(healthcheck.Response{
		ID: s.config.ID, Incarnation: s.began.UnixMicro(), UpUs: time.Since(s.began).Microseconds(), Usage: s.busy.Load(), ShardMap: s.config.ShardMap,
	})
}

// report serves the server's counters.
func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	json.NewEncoder(w).Encode(Report{ID: s.config.ID, Asked: s.asked.Load(), Searches: s.searches.Load(), Last: s.last.Load(), Ran: s.ran})
}

// serve serves a request according to the current fault.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	var m httpapi.BackendRequest
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil || json.Unmarshal(body, &m) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.asked.Add(1)
	s.last.Store(time.Now().UnixMicro())
	s.busy.Add(1)
	defer s.busy.Add(-1)
	f := s.fault.Load()
	if f.Mode == "refuse" {
		s.send(w, 503, &m)
		return
	}
	if m.Kind == search.KindSearch {
		s.searches.Add(1)
	} else if m.Kind != search.KindRead {
		key := m.Key
		if key == "" {
			key = m.ID
		}
		s.mu.Lock()
		s.ran[key]++
		if s.journal != nil {
			// Written before the response, so that a kill of this process does not lose the entry.
			fmt.Fprintln(s.journal, key)
		}
		s.mu.Unlock()
	}
	if f.Mode == "hang" {
		<-r.Context().Done()
		return
	}
	time.Sleep(s.serviceTime(f))
	switch {
	case f.Mode == "close":
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			c.Close()
		}
		return
	case m.Kind == search.KindSearch:
		s.sendWithDefect(w, f, &m, records.Top(m.Index, m.Query, m.Limit, m.Shard, s.config.Shards))
		return
	}
	rec, ok := records.Lookup(m.Record)
	if !ok || search.ShardOf(m.Record, s.config.Shards) != s.config.Shard {
		s.send(w, 404, &m)
		return
	}
	s.sendWithDefect(w, f, &m, []search.Record{rec})
}

// serviceTime returns the processing time of a request. The fault "slow" sets its base; during the slow start it is
// up to five times as long.
func (s *Server) serviceTime(f *Fault) time.Duration {
	us := s.config.ServiceTime
	if f.Mode == "slow" {
		us = f.Us
	}
	if up := time.Since(s.began).Microseconds(); up < s.config.SlowStart {
		us += 4 * us * (s.config.SlowStart - up) / s.config.SlowStart
	}
	return time.Duration(us) * time.Microsecond
}

// newResponse returns the response to a request, with the server's shard, incarnation and load.
func (s *Server) newResponse(m *httpapi.BackendRequest, recs []search.Record) search.BackendResponse {
	return search.BackendResponse{RequestID: m.ID, ShardMap: s.config.ShardMap, Shard: s.config.Shard, Incarnation: s.began.UnixMicro(), Load: s.busy.Load(), Records: recs}
}

// send sends a response without records and with the given status.
func (s *Server) send(w http.ResponseWriter, status int, m *httpapi.BackendRequest) {
	raw, _ := EncodeWithDefect("", status, s.newResponse(m, nil))
	w.Header().Set("Content-Digest", raw.Digest)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(raw.Status)
	w.Write(raw.Body)
}

// sendWithDefect sends a response with the given records and with the defect that the fault's mode names.
func (s *Server) sendWithDefect(w http.ResponseWriter, f *Fault, m *httpapi.BackendRequest, recs []search.Record) {
	raw, closed := EncodeWithDefect(f.Mode, 200, s.newResponse(m, recs))
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if raw.Digest != "" {
		h.Set("Content-Digest", raw.Digest)
	}
	if raw.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(raw.Length, 10))
	}
	w.WriteHeader(raw.Status)
	w.Write(raw.Body)
	if closed {
		panic(http.ErrAbortHandler)
	}
}
