package httpapi

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	goahttp "goa.design/goa/v3/http"

	"wallport/control/config"
	"wallport/gen/caller"
	callersrv "wallport/gen/http/caller/server"
	operatorsrv "wallport/gen/http/operator/server"
	"wallport/gen/operator"
	"wallport/runtime/process"
	"wallport/runtime/settings"
)

// Limits of requests and connections.
const (
	// maxCallerBody and maxOperatorBody are the maximum sizes of request bodies of callers and operators, in bytes.
	maxCallerBody   = 128 << 10
	maxOperatorBody = 768 << 10
	maxHeaderBytes  = 16 << 10
	// readTimeout bounds the reading of a header; reading a complete request may take twice as long.
	readTimeout = 5 * time.Second
	idleTimeout = 60 * time.Second
	// readyPollInterval is the interval at which a node checks whether it can open its caller API.
	readyPollInterval = 20 * time.Millisecond
	// drainGrace is how long a draining node still accepts requests, until callers and other processes have noticed that
	// it is draining.
	drainGrace = 1 * time.Second
	// drainTimeout bounds the wait for the requests in flight.
	drainTimeout = 65 * time.Second
	// maxConcurrentCalls is the maximum number of requests in flight on each API.
	maxConcurrentCalls = 4096
	// retryAfterOverload is the value of Retry-After, in seconds, of responses with status 503.
	retryAfterOverload = "1"
	jsonContent        = "application/json"
	contentTypeHeader  = "Content-Type"
)

// Paths of the pages that are served in addition to the APIs.
const (
	conditionPath = "/condition"
	metricsPath   = "/metrics"
)

// writeError writes the failure for a request that did not reach a service.
func writeError(w http.ResponseWriter, status int, name, message string) {
	w.Header().Set(contentTypeHeader, jsonContent)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterOverload)
	}
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"name":%q,"message":%q,"ran":"no"}`+"\n", name, message)
}

// limited returns a handler that bounds the requests in flight, and reads the complete body of at most maxBody bytes
// before it calls next.
func limited(maxBody int64, open *atomic.Int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if open.Add(1) > maxConcurrentCalls {
			open.Add(-1)
			writeError(w, http.StatusServiceUnavailable, FailureOverloaded, "too many inquiries at once on this node")
			return
		}
		defer open.Add(-1)
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			writeError(w, http.StatusRequestEntityTooLarge, failureOversize, fmt.Sprintf("the body is larger than %d bytes", maxBody))
			return
		case err != nil:
			writeError(w, http.StatusBadRequest, FailureMalformed, "the body could not be read whole")
			return
		}
		if len(body) > 0 && r.Header.Get(contentTypeHeader) == "" {
			r.Header.Set(contentTypeHeader, jsonContent)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// Server owns the HTTP listeners of one process.
type Server struct {
	process        *process.Process
	node           *Node
	callerServer   *http.Server
	operatorServer *http.Server
	// openRequests is the number of requests in flight on the caller API.
	openRequests atomic.Int64
	failures     chan error
	draining     atomic.Bool
	stopping     chan struct{}
	mu           sync.Mutex
}

// Open listens on the HTTP addresses of a process. The caller API of a node opens once the node can serve requests; a
// core has no caller API.
func Open(p *process.Process) (*Server, error) {
	s := &Server{process: p, failures: make(chan error, 2), stopping: make(chan struct{})}
	onErr := func(_ context.Context, _ http.ResponseWriter, err error) {
		p.Log.Debug("response_not_written", zap.Error(err))
	}
	mux := goahttp.NewMuxer()
	if p.Kernel.Boot.Role == settings.RoleNode {
		s.node = NewNode(p)
		var err error
		if s.node.authorizer, err = openAuthorizer(p, s.stopping); err != nil {
			return nil, err
		}
		h := operatorsrv.New(operator.NewEndpoints(operatorAPI{s.node}), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, onErr, formatError)
		operatorsrv.Mount(mux, h)
	}
	mux.Handle(http.MethodGet, conditionPath, s.condition)
	mux.Handle(http.MethodGet, metricsPath, s.metrics)
	var err error
	if s.operatorServer, err = s.listen(p.Kernel.Boot.Settings.Operator, limited(maxOperatorBody, new(atomic.Int64), refuseDuplicateKeys(mux))); err != nil {
		return nil, err
	}
	if s.node == nil || p.Kernel.Boot.Settings.Caller == "" {
		return s, nil
	}
	cmux := goahttp.NewMuxer()
	h := callersrv.New(caller.NewEndpoints(callerAPI{s.node}), cmux, goahttp.RequestDecoder, goahttp.ResponseEncoder, onErr, formatError)
	callersrv.Mount(cmux, h)
	cmux.Handle(http.MethodGet, conditionPath, s.condition)
	// The caller API is not open before the first snapshot. Until then connections are refused, so that callers use
	// another node instead of getting a failure from this one.
	go s.openCaller(limited(maxCallerBody, &s.openRequests, s.countRequests(cmux)))
	return s, nil
}

// countRequests returns a handler that counts the requests that were read. While the node drains, it closes each
// connection after the response, so that callers connect to other nodes.
func (s *Server) countRequests(next http.Handler) http.Handler {
	read := s.process.Kernel.Counts.Of("inquiries_read")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != conditionPath {
			read.Add(1)
		}
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// openCaller opens the caller API once the routing snapshot is ready.
func (s *Server) openCaller(h http.Handler) {
	for !s.node.builder.Current().Ready() {
		select {
		case <-s.stopping:
			return
		case <-time.After(readyPollInterval):
		}
	}
	srv, err := s.listen(s.process.Kernel.Boot.Settings.Caller, h)
	if err != nil {
		s.failures <- err
		return
	}
	s.process.Log.Info("caller_api_open", zap.String("caller", s.process.Kernel.Boot.Settings.Caller))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callerServer = srv
}

func (s *Server) listen(addr string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: readTimeout, ReadTimeout: 2 * readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(s.process.Log.WithOptions(zap.IncreaseLevel(zap.WarnLevel))),
	}
	go func() {
		if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.failures <- err
		}
	}()
	return srv, nil
}

// condition serves the page that reports whether this process is ready for requests.
func (s *Server) condition(w http.ResponseWriter, _ *http.Request) {
	ready, why, version := true, "", ""
	if s.node != nil {
		current := s.node.builder.Current()
		version = config.VersionText(current.Version)
		switch {
		case s.draining.Load():
			ready, why = false, "draining"
		case !current.Ready():
			ready, why = false, "no table yet"
		case current.ZoneDrained:
			ready, why = false, "zone is emptied"
		}
	}
	w.Header().Set(contentTypeHeader, jsonContent)
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintf(w, `{"name":%q,"role":%q,"ready":%t,"why":%q,"in_force":%q}`+"\n", s.process.Kernel.Boot.Settings.Name, s.process.Kernel.Boot.Role, ready, why, version)
}

// metrics serves the counters in the Prometheus text format.
func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(contentTypeHeader, "text/plain; version=0.0.4")
	s.process.Kernel.Counts.Each(func(name string, n int64) {
		name, labels, ok := strings.Cut(name, "{")
		if ok {
			labels = "{" + strings.ReplaceAll(labels, "\\x00", "/")
		}
		fmt.Fprintf(w, "wallport_%s%s %d\n", name, labels, n)
	})
	fmt.Fprintf(w, "wallport_open_inquiries %d\n", s.openRequests.Load())
}

// OpenMetrics serves the metrics page on an additional address until the process exits.
func (s *Server) OpenMetrics(addr string) error {
	mux := http.NewServeMux()
	mux.HandleFunc(http.MethodGet+" "+metricsPath, s.metrics)
	_, err := s.listen(addr, mux)
	return err
}

// SetTraceFinder sets the function that finds the trace of a request of a platform's client by its id.
func (s *Server) SetTraceFinder(find func(id string) (any, bool)) {
	if s.node != nil {
		s.node.platformTrace.Store(&find)
	}
}

// Failed returns a channel of the errors of listeners that ended unexpectedly.
func (s *Server) Failed() <-chan error { return s.failures }
