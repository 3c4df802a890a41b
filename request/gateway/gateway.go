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

// Names holds the names of the header fields, and the readiness path, that a platform uses.
type Names struct {
	// ID carries the client's id of one attempt at a request. Budget carries the time that is left for the
	// attempt, in whole milliseconds.
	ID, Budget string
	// Target carries the id of the backend that a request is sent to, Member the id of the responding backend.
	Target, Member string
	// Seal carries a backend's seal of a response and Load its load. NotExecuted states that the request did not run.
	Seal, Load, NotExecuted string
	// ShardSeals carries the seals of the parts of a merged response. MissingShards carries the number of shards whose
	// parts are missing from it.
	ShardSeals, MissingShards string
	// ReadinessPath is the URL path of readiness checks.
	ReadinessPath string
}

// StateMachine is the state machine of one request. dispatch.StateMachine implements it.
type StateMachine interface {
	Step(now clock.Micros, ev dispatch.Event) []dispatch.Action
	Done() bool
}

// Config holds the parameters and dependencies of a server.
type Config struct {
	// ClientAddr is the address that clients connect to. ReadinessAddr is the address for readiness checks. If it
	// is empty, no readiness checks are served.
	ClientAddr, ReadinessAddr string
	Names                     Names
	Log                       *zap.Logger
	// Sampled is the log for events that clients can cause; nil selects Log.
	Sampled  *zap.Logger
	Counts   *kernel.Counts
	Backends *backend.Client
	// Snapshot returns the current routing snapshot.
	Snapshot func() *snapshot.Snapshot
	// NewStateMachine returns the state machine of a request.
	NewStateMachine func(r dispatch.Request, now clock.Micros) StateMachine
	// Ready reports whether clients may be served. If it is nil, the snapshot must be ready and have a routing table.
	Ready func() bool
	// Now returns the time of the process's clock. AwaitThaw, if set, waits after a freeze until the snapshot is
	// fresh.
	Now       func() clock.Micros
	AwaitThaw func()
	// GracePeriod is the time that the platform allows for a graceful shutdown. AcceptTime is how long a
	// shutdown still accepts new connections, until clients are no longer directed to this node; 0 selects
	// DefaultAcceptTime.
	GracePeriod, AcceptTime clock.Micros
	// WriteTimeout bounds how long a client may take to read its response; 0 selects DefaultWriteTimeout.
	WriteTimeout time.Duration
}

const (
	// DefaultWriteTimeout bounds how long a client may take to read its response.
	DefaultWriteTimeout = 60 * time.Second
	// DefaultAcceptTime is how long a shutdown still accepts new connections.
	DefaultAcceptTime = 2200 * clock.Millisecond
	// PollInterval is how often readiness and, during a shutdown, the open connections are checked.
	PollInterval = 20 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 5 * time.Millisecond
	// abandonedTimeout bounds how long a shutdown waits for abandoned exchanges. abandonedPoll is the interval
	// at which it checks whether any are left.
	abandonedTimeout = time.Second
	abandonedPoll    = 10 * time.Millisecond
	// graceReserve is the divisor for the reserved part of the grace period: a sixth of the period is reserved
	// for the end of the shutdown.
	graceReserve = 6
	// retryAfter is the Retry-After time of responses of a node that cannot serve a request at the moment.
	retryAfter = 200 * clock.Millisecond
)

// codeInvalid is the code of a request that is invalid or cannot be read. Such a request never reaches a state
// machine.
const codeInvalid dispatch.Code = "invalid"

// Server serves clients and readiness checks.
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
	// Gauges of the requests in flight, of the exchanges in flight including abandoned ones, and of the bytes
	// of all bodies.
	inFlight, exchanges, bodyBytes *atomic.Int64
	maxBodyBytes                   int64
}

// Open starts a server. It listens for readiness checks immediately and for clients as soon as the node is
// ready. It returns an error if it cannot listen for readiness checks; [Server.Failed] reports later errors.
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

// openClients listens for clients once the node is ready. Until then their connections are refused, so that
// they connect to other nodes.
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

// isReady reports whether the node can serve clients: no shutdown has begun, and Config.Ready returns true. If
// Config.Ready is nil, the snapshot must instead be ready and have a routing table.
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

// Failed returns a channel of the errors that stop the server from serving.
func (s *Server) Failed() <-chan error { return s.errors }

// Addr returns the address that clients connect to, or an empty string before the server listens.
func (s *Server) Addr() string { return s.connections.addr() }

// shutdownDeadline returns the time at which a graceful shutdown aborts the requests still in flight. That is a
// sixth of the grace period before the end of the period, but at most one second before the end, and at least
// one second after the start.
func shutdownDeadline(start time.Time, grace time.Duration) time.Time {
	return start.Add(max(time.Second, grace-min(time.Second, grace/graceReserve)))
}

// Stop shuts the server down gracefully and returns when that is done. Readiness checks fail immediately, new
// connections are accepted for AcceptTime, and requests that were read are finished, until shutdownDeadline at
// the latest.
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

// awaitAbandoned waits until the abandoned exchanges have ended, so that backends can finish their requests. It
// waits for abandonedTimeout, and until the deadline, at most.
func (s *Server) awaitAbandoned(deadline time.Time) {
	for last := time.Now().Add(abandonedTimeout); s.exchanges.Load() > 0 && time.Now().Before(last) && time.Now().Before(deadline); {
		time.Sleep(abandonedPoll)
	}
}
