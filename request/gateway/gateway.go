// Package gateway is the clients' HTTP side of a node: it reads requests
// whole, takes each through its forward chart, writes the one answer, says
// whether the node is ready, and stops without losing what was read.
package gateway

import (
	"cmp"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wallport/request/backend"
	"wallport/request/dispatch"
	"wallport/request/snapshot"
	"wallport/runtime/kernel"
)

// Names are the header names and the path that a platform uses.
type Names struct {
	ID, Budget, Seal, Target, Load, NotRun, Parts, Missing, Member string
	// ReadyPath is where readiness is asked for.
	ReadyPath string
}

// Chart is one request's state chart; dispatch.Chart is it.
type Chart interface {
	Step(now int64, ev dispatch.Event) []dispatch.Action
	Done() bool
}

// Config is what a server is made of.
type Config struct {
	// Addr is where clients come, ReadyAddr where readiness is asked for.
	Addr, ReadyAddr string
	Names           Names
	Log             *zap.Logger
	// Sampled is the log for what clients can bring about; nil is Log.
	Sampled  *zap.Logger
	Counts   *kernel.Counts
	Backends *backend.Client
	// Table is the snapshot in force.
	Table func() *snapshot.Snapshot
	// Chart makes a request's chart.
	Chart func(r dispatch.Request, now int64) Chart
	// Ready reports whether the newest known configuration is in force; nil is that of the snapshot.
	Ready func() bool
	// Now is the process's clock in microseconds. Refresh, where it is set, waits after a freeze until
	// the table is fresh.
	Now     func() int64
	Refresh func()
	// GraceUs is the time that the platform gives a planned stop, AcceptUs how long new connections are still
	// taken then, until nobody is sent here any more, in microseconds; 0 is AcceptsFor.
	GraceUs, AcceptUs int64
	// WriteWithin bounds how long a client may take to take its answer; 0 is WriteMost.
	WriteWithin time.Duration
}

// Figures of the server.
const (
	// WriteMost bounds how long a client may take to take its answer.
	WriteMost   = 60 * time.Second
	LookEvery   = 20 * time.Millisecond
	AcceptsFor  = 2200 * time.Millisecond
	acceptAgain = 5 * time.Millisecond
	// leftMost is how long a planned stop waits for asks whose answers nobody wants any more.
	leftMost = time.Second
	leftLook = 10 * time.Millisecond
	// graceKept is the part of the grace that is kept for the end itself: a sixth.
	graceKept = 6
	// comeBackUs is when to come back to a node that has no table yet.
	comeBackUs = 200_000
	// Lenient is how many times the configured limits are borne before a request is refused for them.
	Lenient = 2
)

// Server serves clients and readiness.
type Server struct {
	c        Config
	h        handler
	bodyTime time.Duration
	ready    *http.Server
	errs     chan error
	over     chan struct{}
	workers  workers
	clients  clients
	// drains tells that a planned stop has begun.
	drains                  atomic.Bool
	read, refused, accepted *atomic.Int64
	// open counts requests under way, asks those at backends, left ones included; held is what the
	// bodies of all requests hold together. They are shown with the counters.
	open, asks, held *atomic.Int64
	heldMost         int64
}

// Open listens for readiness at once, and for clients as soon as the node is ready.
func Open(c Config) (*Server, error) {
	if c.Refresh == nil {
		c.Refresh = func() {}
	}
	c.WriteWithin = cmp.Or(c.WriteWithin, WriteMost)
	if c.Sampled == nil {
		c.Sampled = c.Log
	}
	if c.AcceptUs == 0 {
		c.AcceptUs = AcceptsFor.Microseconds()
	}
	of := c.Counts.Of
	s := &Server{
		c: c, errs: make(chan error, 2), over: make(chan struct{}), bodyTime: bodyTime, heldMost: bodiesMost, workers: workers{wait: make(chan task)},
		read: of("requests_read"), refused: of("requests_invalid"), accepted: of("clients_accepted"),
		open: of("requests_open"), asks: of("asks_open"), held: of("bodies_held_bytes"),
	}
	s.h = newHandler(s)
	if c.ReadyAddr != "" {
		l, err := net.Listen("tcp", c.ReadyAddr)
		if err != nil {
			return nil, err
		}
		s.ready = &http.Server{
			Handler: http.HandlerFunc(s.readiness), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second,
			MaxHeaderBytes: 16 << 10, ErrorLog: s.errorLog(),
		}
		go s.serveReady(l)
	}
	go s.openClients()
	return s, nil
}

func (s *Server) serveReady(l net.Listener) {
	if err := s.ready.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		s.errs <- err
	}
}

// openClients waits for the first table: a client that comes too early finds no one and goes elsewhere.
func (s *Server) openClients() {
	t := time.NewTicker(LookEvery)
	defer t.Stop()
	for !s.isReady() {
		select {
		case <-s.over:
			return
		case <-t.C:
		}
	}
	if err := s.listen(); err != nil {
		s.errs <- err
	}
}

func (s *Server) isReady() bool {
	if s.drains.Load() {
		return false
	}
	if s.c.Ready != nil {
		return s.c.Ready()
	}
	c := s.c.Table()
	return c.Ready() && c.Routing != nil
}

func (s *Server) readiness(w http.ResponseWriter, r *http.Request) {
	status := http.StatusOK
	switch {
	case r.URL.Path != s.c.Names.ReadyPath:
		status = http.StatusNotFound
	case !s.isReady():
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// Failed tells of a server that ended by itself.
func (s *Server) Failed() <-chan error { return s.errs }

// Addr is where clients are served; empty until they are.
func (s *Server) Addr() string { return s.clients.addr() }

// stopEnd is when a planned stop ends what is under way yet: in the last sixth of the grace, and a second
// before its end at the earliest. A backend that works until then excuses the cut.
func stopEnd(began time.Time, grace time.Duration) time.Time {
	return began.Add(max(time.Second, grace-min(time.Second, grace/graceKept)))
}

// Stop is the planned stop: not ready at once, new connections for a while yet, then what was read is
// finished, until stopEnd at the latest.
func (s *Server) Stop() {
	if s.drains.Swap(true) {
		return
	}
	close(s.over)
	began := time.Now()
	end := stopEnd(began, time.Duration(s.c.GraceUs)*time.Microsecond)
	s.c.Log.Info("draining", zap.Int64("open", s.open.Load()))
	if s.clients.addr() != "" {
		time.Sleep(min(time.Duration(s.c.AcceptUs)*time.Microsecond, time.Until(end)))
	}
	cut := s.end(end)
	// What charts have left at backends is not broken off either.
	for last := time.Now().Add(leftMost); s.asks.Load() > 0 && time.Now().Before(last) && time.Now().Before(end); {
		time.Sleep(leftLook)
	}
	s.c.Log.Info("served", zap.Int64("accepted", s.accepted.Load()), zap.Int64("read", s.read.Load()), zap.Int64("open", s.open.Load()), zap.Int("cut", cut))
	if s.ready != nil {
		s.ready.Close()
	}
}
