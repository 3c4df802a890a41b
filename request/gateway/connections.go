package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

// connections are the clients' connections. An http.Server has its limits for good: a change of the
// limits starts another one for new connections, and those that are open keep theirs.
type connections struct {
	mu       sync.Mutex
	listener net.Listener
	states   map[net.Conn]http.ConnState
	// httpServers are all that were started; handoffs has the channel of accepted connections for each.
	httpServers []*http.Server
	handoffs    map[serverLimits]chan net.Conn
	closing     bool
	closed      chan struct{}
}

// serverLimits are the limits of one http.Server.
type serverLimits struct {
	headTimeout, idleTimeout time.Duration
	maxHeaderBytes           int
}

// addr returns the address that clients are served on, or nothing before they are.
func (c *connections) addr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener == nil {
		return ""
	}
	return c.listener.Addr().String()
}

// listen opens the clients' address and starts to accept connections.
func (s *Server) listen() error {
	// Without keep-alive probes: idle connections time out.
	l, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", s.config.ClientAddr)
	if err != nil {
		return err
	}
	conns := &s.connections
	conns.mu.Lock()
	defer conns.mu.Unlock()
	if conns.closing {
		return l.Close()
	}
	conns.listener, conns.closed = l, make(chan struct{})
	conns.states, conns.handoffs = map[net.Conn]http.ConnState{}, map[serverLimits]chan net.Conn{}
	s.config.Log.Info("listening", zap.String("addr", l.Addr().String()))
	go s.accept(l)
	return nil
}

func (s *Server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			// As when no file descriptor is free: it passes.
			s.config.Counts.Add("clients_not_accepted", 1)
			time.Sleep(acceptRetryDelay)
			continue
		}
		handoff := s.assign(c)
		if handoff == nil {
			c.Close()
			continue
		}
		select {
		case handoff <- c:
			s.accepted.Add(1)
		case <-s.connections.closed:
			c.Close()
			s.stateChanged(c, http.StateClosed)
		}
	}
}

// assign registers a connection and returns the channel to the http.Server for the limits in force, or
// nil if the shutdown does not accept connections any more.
func (s *Server) assign(c net.Conn) chan net.Conn {
	conns := &s.connections
	l := s.limits()
	conns.mu.Lock()
	defer conns.mu.Unlock()
	if conns.closing {
		return nil
	}
	limits := serverLimits{headTimeout(l), idleTimeout(l), maxHeaderBytes(l)}
	handoff := conns.handoffs[limits]
	if handoff == nil {
		handoff = s.serveWith(limits)
	}
	conns.states[c] = http.StateNew
	return handoff
}

// serveWith starts an http.Server with the limits and returns its channel. The connections' lock is held.
func (s *Server) serveWith(limits serverLimits) chan net.Conn {
	conns, handoff := &s.connections, make(chan net.Conn)
	server := &http.Server{
		Handler: &s.handler, MaxHeaderBytes: limits.maxHeaderBytes,
		ReadHeaderTimeout: limits.headTimeout, IdleTimeout: limits.idleTimeout, WriteTimeout: s.config.WriteTimeout,
		ConnState: s.stateChanged, ErrorLog: s.errorLog(), DisableGeneralOptionsHandler: true,
	}
	conns.httpServers, conns.handoffs[limits] = append(conns.httpServers, server), handoff
	go server.Serve(&handoffListener{addr: conns.listener.Addr(), conns: handoff, closed: make(chan struct{})})
	return handoff
}

// stateChanged records a connection's state. A connection that became active just when closeIdle
// expired its deadline is not closed: its request was read.
func (s *Server) stateChanged(c net.Conn, state http.ConnState) {
	conns := &s.connections
	conns.mu.Lock()
	defer conns.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(conns.states, c)
		return
	case http.StateActive:
		if conns.closing {
			c.SetReadDeadline(time.Time{})
		}
	}
	conns.states[c] = state
}

// closeConnections closes the listener and the idle connections and waits for the others, until a
// moment at the latest. It returns how many connections were aborted then.
func (s *Server) closeConnections(until time.Time) (aborted int) {
	conns := &s.connections
	conns.mu.Lock()
	conns.closing = true
	if conns.listener != nil {
		conns.listener.Close()
		close(conns.closed)
	}
	conns.mu.Unlock()
	poll := time.NewTicker(PollInterval)
	defer poll.Stop()
	for aborted = s.closeIdle(); aborted > 0 && time.Now().Before(until); aborted = s.closeIdle() {
		<-poll.C
	}
	for _, server := range conns.httpServers {
		server.Close()
	}
	return aborted
}

// closeIdle ends the connections that are not active and returns how many connections there still
// are. It expires their read deadlines instead of closing them: a read either fails before it returns
// a byte or has read a request, which is then served.
func (s *Server) closeIdle() int {
	conns := &s.connections
	conns.mu.Lock()
	defer conns.mu.Unlock()
	for c, state := range conns.states {
		if state != http.StateActive {
			c.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return len(conns.states)
}

// handoffListener is the listener of an http.Server whose connections are accepted elsewhere.
type handoffListener struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *handoffListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *handoffListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *handoffListener) Addr() net.Addr { return l.addr }
