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

type clients struct {
	mu  sync.Mutex
	l   net.Listener
	all map[net.Conn]http.ConnState
	// servers are all that were begun, passes the ways to them by what they were made for.
	servers []*http.Server
	passes  map[times]chan net.Conn
	shut    bool
	over    chan struct{}
}

// times are the limits that a server has for all its time.
type times struct {
	head, idle time.Duration
	most       int
}

// addr is where clients are served, empty until they are.
func (v *clients) addr() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.l == nil {
		return ""
	}
	return v.l.Addr().String()
}

// listen opens the clients' address and accepts.
func (s *Server) listen() error {
	// Without keep-alive probes: idle connections end by their time.
	l, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", s.c.Addr)
	if err != nil {
		return err
	}
	v := &s.clients
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.shut {
		return l.Close()
	}
	v.l, v.all, v.passes, v.over = l, map[net.Conn]http.ConnState{}, map[times]chan net.Conn{}, make(chan struct{})
	s.c.Log.Info("clients_open", zap.String("addr", l.Addr().String()))
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
			s.c.Counts.Add("clients_not_accepted", 1)
			time.Sleep(acceptAgain)
			continue
		}
		pass := s.add(c)
		if pass == nil {
			c.Close()
			continue
		}
		select {
		case pass <- c:
			s.accepted.Add(1)
		case <-s.clients.over:
			c.Close()
			s.changed(c, http.StateClosed)
		}
	}
}

// add takes a connection up and gives the way to its server; nil is that none is taken any more.
func (s *Server) add(c net.Conn) chan net.Conn {
	m, v := s.limits(), &s.clients
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.shut {
		return nil
	}
	now := times{headTime(m), idleTime(m), headMost(m)}
	pass := v.passes[now]
	if pass == nil {
		pass = s.serveWith(now)
	}
	v.all[c] = http.StateNew
	return pass
}

// serveWith begins a server for some limits; the connections' lock is held. Limits that come again find it there.
func (s *Server) serveWith(now times) chan net.Conn {
	v, pass := &s.clients, make(chan net.Conn)
	srv := &http.Server{
		Handler: &s.h, ReadHeaderTimeout: now.head, IdleTimeout: now.idle, WriteTimeout: s.c.WriteWithin, MaxHeaderBytes: now.most,
		ConnState: s.changed, ErrorLog: s.errorLog(), DisableGeneralOptionsHandler: true,
	}
	v.servers, v.passes[now] = append(v.servers, srv), pass
	go srv.Serve(&passed{at: v.l.Addr(), pass: pass, over: make(chan struct{})})
	return pass
}

// changed takes note of a connection's state. One that was given up just as its request had been read is not.
func (s *Server) changed(c net.Conn, state http.ConnState) {
	v := &s.clients
	v.mu.Lock()
	defer v.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(v.all, c)
		return
	case http.StateActive:
		if v.shut {
			c.SetReadDeadline(time.Time{})
		}
	}
	v.all[c] = state
}

// end closes the listener, gives up what rests and waits for the others, up to a moment; it returns how many
// connections were cut then.
func (s *Server) end(until time.Time) (cut int) {
	v := &s.clients
	v.mu.Lock()
	v.shut = true
	if v.l != nil {
		v.l.Close()
		close(v.over)
	}
	v.mu.Unlock()
	t := time.NewTicker(LookEvery)
	defer t.Stop()
	for cut = s.giveUp(); cut > 0 && time.Now().Before(until); cut = s.giveUp() {
		<-t.C
	}
	for _, srv := range v.servers {
		srv.Close()
	}
	return cut
}

// giveUp ends the connections that rest, and returns how many there still are. A reading that is late reads nothing,
// so that nothing is given up of which something was read; closing could come after the reading of a request.
func (s *Server) giveUp() int {
	v := &s.clients
	v.mu.Lock()
	defer v.mu.Unlock()
	for c, state := range v.all {
		if state != http.StateActive {
			c.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return len(v.all)
}

// passed is a listener over connections that another one accepted.
type passed struct {
	at   net.Addr
	pass chan net.Conn
	over chan struct{}
	once sync.Once
}

func (p *passed) Accept() (net.Conn, error) {
	select {
	case c := <-p.pass:
		return c, nil
	case <-p.over:
		return nil, net.ErrClosed
	}
}

func (p *passed) Close() error   { p.once.Do(func() { close(p.over) }); return nil }
func (p *passed) Addr() net.Addr { return p.at }
