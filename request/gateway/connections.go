// The connections of clients, over net/http's servers: a change of the limits
// begins a new server for connections to come, and those that are open end as
// they began. At the end of a planned stop those that rest are given up, the
// others when they have answered.

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

type connections struct {
	mu       sync.Mutex
	listener net.Listener
	states   map[net.Conn]http.ConnState
	// httpServers are all that were begun, passes the ways to them by what they were made for.
	httpServers []*http.Server
	handoffs    map[serverLimits]chan net.Conn
	closing     bool
	closed      chan struct{}
}

// serverLimits are the limits that a server has for all its time.
type serverLimits struct {
	headTimeout, idleTimeout time.Duration
	maxHeaderBytes           int
}

// addr is where clients are served, empty until they are.
func (v *connections) addr() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.listener == nil {
		return ""
	}
	return v.listener.Addr().String()
}

// listen opens the clients' address and accepts.
func (s *Server) listen() error {
	// Without keep-alive probes: idle connections end by their time.
	l, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", s.config.ClientAddr)
	if err != nil {
		return err
	}
	v := &s.connections
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closing {
		return l.Close()
	}
	v.listener, v.states, v.handoffs, v.closed = l, map[net.Conn]http.ConnState{}, map[serverLimits]chan net.Conn{}, make(chan struct{})
	s.config.Log.Info("clients_open", zap.String("addr", l.Addr().String()))
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
			// No descriptors are left, or the like: it passes.
			s.config.Counts.Add("clients_not_accepted", 1)
			time.Sleep(acceptRetryDelay)
			continue
		}
		pass := s.assign(c)
		if pass == nil {
			c.Close()
			continue
		}
		select {
		case pass <- c:
			s.accepted.Add(1)
		case <-s.connections.closed:
			c.Close()
			s.stateChanged(c, http.StateClosed)
		}
	}
}

// assign takes a connection up and gives the way to its server; nil is that none is taken any more.
func (s *Server) assign(c net.Conn) chan net.Conn {
	m, v := s.limits(), &s.connections
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closing {
		return nil
	}
	now := serverLimits{headTimeout(m), idleTimeout(m), maxHeaderBytes(m)}
	pass := v.handoffs[now]
	if pass == nil {
		pass = s.serveWith(now)
	}
	v.states[c] = http.StateNew
	return pass
}

// serveWith begins a server for some limits; the connections' lock is held. Limits that come again find it there.
func (s *Server) serveWith(now serverLimits) chan net.Conn {
	v, pass := &s.connections, make(chan net.Conn)
	srv := &http.Server{
		Handler: &s.handler, ReadHeaderTimeout: now.headTimeout, IdleTimeout: now.idleTimeout, WriteTimeout: s.config.WriteTimeout, MaxHeaderBytes: now.maxHeaderBytes,
		ConnState: s.stateChanged, ErrorLog: s.errorLog(), DisableGeneralOptionsHandler: true,
	}
	v.httpServers, v.handoffs[now] = append(v.httpServers, srv), pass
	go srv.Serve(&handoffListener{addr: v.listener.Addr(), conns: pass, closed: make(chan struct{})})
	return pass
}

// stateChanged takes note of a connection's state. One that was given up just as its request had been read is not.
func (s *Server) stateChanged(c net.Conn, state http.ConnState) {
	v := &s.connections
	v.mu.Lock()
	defer v.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(v.states, c)
		return
	case http.StateActive:
		if v.closing {
			c.SetReadDeadline(time.Time{})
		}
	}
	v.states[c] = state
}

// closeConnections closes the listener, gives up what rests and waits for the others, up to a moment; it returns how many
// connections were cut then.
func (s *Server) closeConnections(until time.Time) (aborted int) {
	v := &s.connections
	v.mu.Lock()
	v.closing = true
	if v.listener != nil {
		v.listener.Close()
		close(v.closed)
	}
	v.mu.Unlock()
	t := time.NewTicker(PollInterval)
	defer t.Stop()
	for aborted = s.closeIdle(); aborted > 0 && time.Now().Before(until); aborted = s.closeIdle() {
		<-t.C
	}
	for _, srv := range v.httpServers {
		srv.Close()
	}
	return aborted
}

// closeIdle ends the connections that rest, and returns how many there still are. A reading that is late reads nothing,
// so that nothing is given up of which something was read; closing could come after the reading of a request.
func (s *Server) closeIdle() int {
	v := &s.connections
	v.mu.Lock()
	defer v.mu.Unlock()
	for c, state := range v.states {
		if state != http.StateActive {
			c.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return len(v.states)
}

// handoffListener is a listener over connections that another one accepted.
type handoffListener struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (p *handoffListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *handoffListener) Close() error   { p.once.Do(func() { close(p.closed) }); return nil }
func (p *handoffListener) Addr() net.Addr { return p.addr }
