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

// connections tracks the clients' connections. The limits of an http.Server cannot change while it runs, so
// after a change of the limits another http.Server serves the new connections. Open connections stay with the
// http.Server that already serves them.
type connections struct {
	mu       sync.Mutex
	listener net.Listener
	states   map[net.Conn]http.ConnState
	// httpServers lists all servers that were started. For each set of limits, handoffs holds the channel from
	// which the server with these limits receives its connections.
	httpServers []*http.Server
	handoffs    map[serverLimits]chan net.Conn
	closing     bool
	closed      chan struct{}
}

// serverLimits bounds the time to read a request's head, the idle time of a connection and the size of a request's head
// on one http.Server.
type serverLimits struct {
	headTimeout, idleTimeout time.Duration
	maxHeaderBytes           int
}

// addr returns the address that clients connect to, or an empty string before the server listens.
func (c *connections) addr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener == nil {
		return ""
	}
	return c.listener.Addr().String()
}

// listen starts to listen on the clients' address and to accept connections.
func (s *Server) listen() error {
	// Keep-alive probes are not needed, because idle connections time out.
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
			// The error is temporary, for example because no file descriptor is free.
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

// assign registers a connection and returns the channel to the http.Server with the current limits. It
// returns nil once a shutdown has stopped accepting connections.
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

// serveWith starts an http.Server with the limits and returns its channel. The caller holds connections.mu.
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

// stateChanged records the state of a connection. If a connection became active just as closeIdle expired
// its read deadline, the deadline is removed, so that the request that was read is served.
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

// closeConnections closes the listener and the idle connections, and waits for the other connections until
// the given time at most. It returns the number of connections that were aborted at that time.
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

// closeIdle ends the connections that are not active and returns the number of connections that are still
// open. It does not close the idle connections but sets their read deadlines to a time in the past. A read then
// either fails without returning a byte or returns a request, which is served.
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

// handoffListener is a net.Listener for an http.Server whose connections are accepted by Server.accept.
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
