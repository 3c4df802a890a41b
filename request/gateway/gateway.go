package gateway

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wallport/request/backend"
	"wallport/request/dispatch"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

// Names are the names of header fields and the path that a platform uses.
type Names struct {
	// ID is a client's id of one attempt, Budget what is left of its time, in whole milliseconds.
	ID, Budget string
	// Target is the backend that a request is meant for, Member the backend that responds.
	Target, Member string
	// Seal is a backend's seal of a response, Load its load, NotExecuted its statement that a request did not run.
	Seal, Load, NotExecuted string
	// ShardSeals are the seals of a merged response, MissingShards the number of shards that it lacks.
	ShardSeals, MissingShards string
	// ReadinessPath is the path that readiness is requested at.
	ReadinessPath string
}

// StateMachine is the state machine of one request, as dispatch.StateMachine.
type StateMachine interface {
	Step(now clock.Micros, ev dispatch.Event) []dispatch.Action
	Done() bool
}

// Config is what a server is made of.
type Config struct {
	// ClientAddr is the address for clients, ReadinessAddr that for readiness checks; empty is none.
	ClientAddr, ReadinessAddr string
	Names                     Names
	Log                       *zap.Logger
	// Sampled is the log for events that clients can cause; nil is Log.
	Sampled  *zap.Logger
	Counts   *kernel.Counts
	Backends *backend.Client
	// Snapshot returns the routing snapshot in force.
	Snapshot func() *snapshot.Snapshot
	// NewStateMachine returns the state machine of a request.
	NewStateMachine func(r dispatch.Request, now clock.Micros) StateMachine
	// Ready reports whether clients may be served; nil asks the snapshot, which must be ready and have a routing table.
	Ready func() bool
	// Now is the process's clock. AwaitThaw, if set, waits after a freeze until the snapshot is fresh.
	Now       func() clock.Micros
	AwaitThaw func()
	// GracePeriod is the time that the platform gives a graceful shutdown. AcceptTime is how long new
	// connections are still accepted then, until no client is sent here any more; 0 is DefaultAcceptTime.
	GracePeriod, AcceptTime clock.Micros
	// WriteTimeout bounds how long a client may take to read its response; 0 is DefaultWriteTimeout.
	WriteTimeout time.Duration
}

const (
	// DefaultWriteTimeout bounds how long a client may take to read its response.
	DefaultWriteTimeout = 60 * time.Second
	// DefaultAcceptTime is how long a shutdown still accepts connections.
	DefaultAcceptTime = 2200 * clock.Millisecond
	// PollInterval is how often readiness and, in a shutdown, the open connections are looked at.
	PollInterval = 20 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 5 * time.Millisecond
	// abandonedTimeout is how long a shutdown waits for abandoned exchanges, abandonedPoll how often it looks.
	abandonedTimeout = time.Second
	abandonedPoll    = 10 * time.Millisecond
	// graceReserve divides the grace period: a sixth of it is kept for the end of the shutdown.
	graceReserve = 6
	// retryAfter is what clients of a node that cannot serve yet are told to wait.
	retryAfter = 200 * clock.Millisecond
)

// codeInvalid is the code of a request that is invalid or cannot be read. It never reaches a state machine.
const codeInvalid dispatch.Code = "invalid"

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
	// draining is set once the shutdown has begun.
	draining                 atomic.Bool
	read, rejected, accepted *atomic.Int64
	// The gauges of requests in flight, of exchanges in flight, abandoned ones included, and of the bytes
	// of all bodies.
	inFlight, exchanges, bodyBytes *atomic.Int64
	maxBodyBytes                   int64
}

// Open starts a server. It listens for readiness checks at once, and for clients as soon as the node is
// ready. It fails if the address for readiness checks cannot be opened; later errors go to [Server.Failed].
func Open(c Config) (*Server, error) {
	if c.AwaitThaw == nil {
		c.AwaitThaw = func() {}
	}
	c.WriteTimeout = cmp.Or(c.WriteTimeout, DefaultWriteTimeout)
	if c.Sampled == nil {
		c.Sampled = c.Log
	}
	if c.AcceptTime == 0 {
		c.AcceptTime = DefaultAcceptTime
	}
	of := c.Counts.Of
	s := &Server{
		config: c, errors: make(chan error, 2), stopping: make(chan struct{}),
		bodyTimeout: defaultBodyTimeout, maxBodyBytes: maxBodiesBytes, workers: workers{tasks: make(chan task)},
		read: of("requests_read"), rejected: of("requests_invalid"), accepted: of("clients_accepted"),
		inFlight: of("requests_open"), exchanges: of("asks_open"), bodyBytes: of("bodies_held_bytes"),
	}
	s.handler = newHandler(s)
	if c.ReadinessAddr != "" {
		l, err := net.Listen("tcp", c.ReadinessAddr)
		if err != nil {
			return nil, fmt.Errorf("cannot listen for readiness checks: %w", err)
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

// openClients listens for clients once the node is ready: until then they are refused and go elsewhere.
func (s *Server) openClients() {
	poll := time.NewTicker(PollInterval)
	defer poll.Stop()
	for !s.isReady() {
		select {
		case <-s.stopping:
			return
		case <-poll.C:
		}
	}
	if err := s.listen(); err != nil {
		s.errors <- err
	}
}

// isReady reports whether clients may be sent here: a routing table is in force, or Config.Ready says so, and no
// shutdown has begun.
func (s *Server) isReady() bool {
	if s.draining.Load() {
		return false
	}
	if s.config.Ready != nil {
		return s.config.Ready()
	}
	view := s.config.Snapshot()
	return view.Ready() && view.Routing != nil
}

// readiness responds to a readiness check.
func (s *Server) readiness(w http.ResponseWriter, r *http.Request) {
	status := http.StatusOK
	switch {
	case r.URL.Path != s.config.Names.ReadinessPath:
		status = http.StatusNotFound
	case !s.isReady():
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// Failed receives the errors after which the server does not serve.
func (s *Server) Failed() <-chan error { return s.errors }

// Addr returns the address that clients are served on, or nothing before they are.
func (s *Server) Addr() string { return s.connections.addr() }

// shutdownDeadline returns when a graceful shutdown aborts what is still in flight: a sixth of the
// grace period before its end, but not more than a second before it, and after one second at the earliest.
func shutdownDeadline(start time.Time, grace time.Duration) time.Time {
	return start.Add(max(time.Second, grace-min(time.Second, grace/graceReserve)))
}

// Stop shuts the server down gracefully and returns when it is done. Readiness ends at once, new
// connections are accepted for AcceptTime, and requests that were read are finished, until
// shutdownDeadline at the latest.
func (s *Server) Stop() {
	if s.draining.Swap(true) {
		return
	}
	close(s.stopping)
	deadline := shutdownDeadline(time.Now(), clock.Duration(s.config.GracePeriod))
	s.config.Log.Info("draining", zap.Int64("in_flight", s.inFlight.Load()))
	if s.connections.addr() != "" {
		time.Sleep(min(clock.Duration(s.config.AcceptTime), time.Until(deadline)))
	}
	aborted := s.closeConnections(deadline)
	s.awaitAbandoned(deadline)
	s.config.Log.Info("served", zap.Int64("accepted", s.accepted.Load()), zap.Int64("read", s.read.Load()),
		zap.Int64("in_flight", s.inFlight.Load()), zap.Int("aborted", aborted))
	if s.ready != nil {
		s.ready.Close()
	}
}

// awaitAbandoned waits for exchanges that were abandoned, so that backends can finish them.
func (s *Server) awaitAbandoned(deadline time.Time) {
	for last := time.Now().Add(abandonedTimeout); s.exchanges.Load() > 0 && time.Now().Before(last) && time.Now().Before(deadline); {
		time.Sleep(abandonedPoll)
	}
}
