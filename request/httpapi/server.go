// The HTTP servers: limits on bodies, headers and time, the condition and
// metrics pages, error shapes, and when each of them opens.

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
)

// Limits on what is read.
const (
	maxCallerBody      = 128 << 10
	maxOperatorBody    = 768 << 10
	maxHeaderBytes     = 16 << 10
	readTimeout        = 5 * time.Second
	idleTimeout        = 60 * time.Second
	readyPollInterval  = 20 * time.Millisecond
	drainGrace         = 1 * time.Second
	drainTimeout       = 65 * time.Second
	maxConcurrentCalls = 4096
	retryAfterOverload = "1"
	jsonContent        = "application/json"
	contentTypeHeader  = "Content-Type"
)

func writeError(w http.ResponseWriter, status int, name, message string) {
	w.Header().Set(contentTypeHeader, jsonContent)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterOverload)
	}
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"name":%q,"message":%q,"ran":"no"}`+"\n", name, message)
}

// limited reads the whole body, within its limit, before anything is decided.
func limited(most int64, open *atomic.Int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if open.Add(1) > maxConcurrentCalls {
			open.Add(-1)
			writeError(w, http.StatusServiceUnavailable, "shed", "too many inquiries at once on this node")
			return
		}
		defer open.Add(-1)
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
		var big *http.MaxBytesError
		switch {
		case errors.As(err, &big):
			writeError(w, http.StatusRequestEntityTooLarge, "oversize", fmt.Sprintf("the body is larger than %d bytes", most))
			return
		case err != nil:
			writeError(w, http.StatusBadRequest, "malformed", "the body could not be read whole")
			return
		}
		if len(body) > 0 && r.Header.Get(contentTypeHeader) == "" {
			r.Header.Set(contentTypeHeader, jsonContent)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// Server is the HTTP side of one process.
type Server struct {
	process        *process.Process
	node           *Node
	callerServer   *http.Server
	operatorServer *http.Server
	openRequests   atomic.Int64
	failures       chan error
	draining       atomic.Bool
	stopping       chan struct{}
	mu             sync.Mutex
}

// Open listens on the process's HTTP addresses. A core has no caller API.
func Open(p *process.Process) (*Server, error) {
	s := &Server{process: p, failures: make(chan error, 2), stopping: make(chan struct{})}
	onErr := func(_ context.Context, _ http.ResponseWriter, err error) {
		p.Log.Debug("answer_not_written", zap.Error(err))
	}
	mux := goahttp.NewMuxer()
	if p.Kernel.Boot.Role == "node" {
		s.node = NewNode(p)
		var err error
		if s.node.authorizer, err = openAuthorizer(p, s.stopping); err != nil {
			return nil, err
		}
		h := operatorsrv.New(operator.NewEndpoints(operatorAPI{s.node}), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, onErr, formatError)
		operatorsrv.Mount(mux, h)
	}
	mux.Handle(http.MethodGet, "/condition", s.condition)
	mux.Handle(http.MethodGet, "/metrics", s.metrics)
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
	cmux.Handle(http.MethodGet, "/condition", s.condition)
	// Until the first table is there nobody listens: a caller that comes too
	// early finds no one, goes to another node, and is not refused by this one.
	go s.openCaller(limited(maxCallerBody, &s.openRequests, s.countRequests(cmux)))
	return s, nil
}

// countRequests counts what was read, and asks callers of a draining node to come on a
// new connection next time, which is then another node's.
func (s *Server) countRequests(next http.Handler) http.Handler {
	read := s.process.Kernel.Counts.Of("inquiries_read")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/condition" {
			read.Add(1)
		}
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// openCaller opens the caller API once inquiries can be served.
func (s *Server) openCaller(h http.Handler) {
	for !s.node.table.Current().Ready() {
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

// condition reports whether this process should be given work.
func (s *Server) condition(w http.ResponseWriter, _ *http.Request) {
	ready, why, stamp := true, "", ""
	if s.node != nil {
		cp := s.node.table.Current()
		stamp = config.VersionText(cp.Version)
		switch {
		case s.draining.Load():
			ready, why = false, "draining"
		case !cp.Ready():
			ready, why = false, "no table yet"
		case cp.ZoneDrained:
			ready, why = false, "zone is emptied"
		}
	}
	w.Header().Set(contentTypeHeader, jsonContent)
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintf(w, `{"name":%q,"role":%q,"ready":%t,"why":%q,"in_force":%q}`+"\n", s.process.Kernel.Boot.Settings.Name, s.process.Kernel.Boot.Role, ready, why, stamp)
}

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

// OpenMetrics tells the process's figures on one more address, until the process ends.
func (s *Server) OpenMetrics(addr string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.metrics)
	_, err := s.listen(addr, mux)
	return err
}

// ExplainBy has requests of the platform's clients explained by a function that finds their traces.
func (s *Server) ExplainBy(find func(id string) (any, bool)) {
	if s.node != nil {
		s.node.platformTrace.Store(&find)
	}
}

// Failed tells of a server that ended by itself.
func (s *Server) Failed() <-chan error { return s.failures }
