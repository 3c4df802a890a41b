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

// StateMachine is one request's state chart; dispatch.Chart is it.
type StateMachine interface {
	Step(now int64, ev dispatch.Event) []dispatch.Action
	Done() bool
}

// Config is what a server is made of.
type Config struct {
	// ClientAddr is where clients come, ReadinessAddr where readiness is asked for.
	ClientAddr, ReadinessAddr string
	Names                     Names
	Log                       *zap.Logger
	// Sampled is the log for what clients can bring about; nil is Log.
	Sampled  *zap.Logger
	Counts   *kernel.Counts
	Backends *backend.Client
	// Snapshot is the snapshot in force.
	Snapshot func() *snapshot.Snapshot
	// NewStateMachine makes a request's chart.
	NewStateMachine func(r dispatch.Request, now int64) StateMachine
	// Ready reports whether the newest known configuration is in force; nil is that of the snapshot.
	Ready func() bool
	// Now is the process's clock in microseconds. Refresh, where it is set, waits after a freeze until
	// the table is fresh.
	Now       func() int64
	AwaitThaw func()
	// GracePeriod is the time that the platform gives a planned stop, AcceptTime how long new connections are still
	// taken then, until nobody is sent here any more, in microseconds; 0 is DefaultAcceptTime.
	GracePeriod, AcceptTime int64
	// WriteTimeout bounds how long a client may take to take its answer; 0 is DefaultWriteTimeout.
	WriteTimeout time.Duration
}

// Figures of the server.
const (
	// DefaultWriteTimeout bounds how long a client may take to take its answer.
	DefaultWriteTimeout = 60 * time.Second
	PollInterval        = 20 * time.Millisecond
	DefaultAcceptTime   = 2200 * time.Millisecond
	acceptRetryDelay    = 5 * time.Millisecond
	// abandonedTimeout is how long a planned stop waits for asks whose answers nobody wants any more.
	abandonedTimeout = time.Second
	abandonedPoll    = 10 * time.Millisecond
	// graceReserve is the part of the grace that is kept for the end itself: a sixth.
	graceReserve = 6
	// retryAfter is when to come back to a node that has no table yet.
	retryAfter = 200_000
	// Leniency is how many times the configured limits are borne before a request is refused for them.
	Leniency = 2
)

// Server serves clients and readiness.
type Server struct {
	config      Config
	handler     handler
	bodyTimeout time.Duration
	ready       *http.Server
	errors      chan error
	stopping    chan struct{}
	workers     workers
	connections connections
	// draining tells that a planned stop has begun.
	draining                atomic.Bool
	read, refused, accepted *atomic.Int64
	// inFlight counts requests under way, asks those at backends, left ones included; held is what the
	// bodies of all requests hold together. They are shown with the counters.
	inFlight, exchanges, bodyBytes *atomic.Int64
	maxBodyBytes                   int64
}

// Open listens for readiness at once, and for clients as soon as the node is ready.
func Open(c Config) (*Server, error) {
	if c.AwaitThaw == nil {
		c.AwaitThaw = func() {}
	}
	c.WriteTimeout = cmp.Or(c.WriteTimeout, DefaultWriteTimeout)
	if c.Sampled == nil {
		c.Sampled = c.Log
	}
	if c.AcceptTime == 0 {
		c.AcceptTime = DefaultAcceptTime.Microseconds()
	}
	of := c.Counts.Of
	s := &Server{
		config: c, errors: make(chan error, 2), stopping: make(chan struct{}), bodyTimeout: defaultBodyTimeout, maxBodyBytes: maxBodiesBytes, workers: workers{tasks: make(chan task)},
		read: of("requests_read"), refused: of("requests_invalid"), accepted: of("clients_accepted"),
		inFlight: of("requests_open"), exchanges: of("asks_open"), bodyBytes: of("bodies_held_bytes"),
	}
	s.handler = newHandler(s)
	if c.ReadinessAddr != "" {
		l, err := net.Listen("tcp", c.ReadinessAddr)
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
		s.errors <- err
	}
}

// openClients waits for the first table: a client that comes too early finds no one and goes elsewhere.
func (s *Server) openClients() {
	t := time.NewTicker(PollInterval)
	defer t.Stop()
	for !s.isReady() {
		select {
		case <-s.stopping:
			return
		case <-t.C:
		}
	}
	if err := s.listen(); err != nil {
		s.errors <- err
	}
}

func (s *Server) isReady() bool {
	if s.draining.Load() {
		return false
	}
	if s.config.Ready != nil {
		return s.config.Ready()
	}
	c := s.config.Snapshot()
	return c.Ready() && c.Routing != nil
}

func (s *Server) readiness(w http.ResponseWriter, r *http.Request) {
	status := http.StatusOK
	switch {
	case r.URL.Path != s.config.Names.ReadyPath:
		status = http.StatusNotFound
	case !s.isReady():
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// Failed tells of a server that ended by itself.
func (s *Server) Failed() <-chan error { return s.errors }

// Addr is where clients are served; empty until they are.
func (s *Server) Addr() string { return s.connections.addr() }

// stopEnd is when a planned stop ends what is under way yet: in the last sixth of the grace, and a second
// before its end at the earliest. A backend that works until then excuses the cut.
func stopEnd(began time.Time, grace time.Duration) time.Time {
	return began.Add(max(time.Second, grace-min(time.Second, grace/graceReserve)))
}

// Stop is the planned stop: not ready at once, new connections for a while yet, then what was read is
// finished, until stopEnd at the latest.
func (s *Server) Stop() {
	if s.draining.Swap(true) {
		return
	}
	close(s.stopping)
	began := time.Now()
	end := stopEnd(began, time.Duration(s.config.GracePeriod)*time.Microsecond)
	s.config.Log.Info("draining", zap.Int64("open", s.inFlight.Load()))
	if s.connections.addr() != "" {
		time.Sleep(min(time.Duration(s.config.AcceptTime)*time.Microsecond, time.Until(end)))
	}
	cut := s.closeConnections(end)
	// What charts have left at backends is not broken off either.
	for last := time.Now().Add(abandonedTimeout); s.exchanges.Load() > 0 && time.Now().Before(last) && time.Now().Before(end); {
		time.Sleep(abandonedPoll)
	}
	s.config.Log.Info("served", zap.Int64("accepted", s.accepted.Load()), zap.Int64("read", s.read.Load()), zap.Int64("open", s.inFlight.Load()), zap.Int("cut", cut))
	if s.ready != nil {
		s.ready.Close()
	}
}
