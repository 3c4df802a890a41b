// What a client may send and how long it may take: the limits of the routing
// table in force, generously, or what is borne where it sets none, and a bound on
// what all bodies hold together.

package gateway

import (
	"io"
	"net/http"
	"time"

	"wallport/api/routingpb"
)

const (
	// bodiesMost bounds what the bodies of all requests hold together, in bytes.
	bodiesMost = 32 << 20
	bodyTime   = 10 * time.Second
	timeLeast  = 200 * time.Millisecond
)

func (s *Server) limits() *routingpb.Limits {
	if c := s.c.Table(); c != nil && c.Routing != nil && c.Routing.Limits != nil {
		return c.Routing.Limits
	}
	return &routingpb.Limits{}
}

func idleTime(m *routingpb.Limits) time.Duration { return borne(m.IdleTimeoutUs, 30*time.Second) }
func headTime(m *routingpb.Limits) time.Duration { return borne(m.HeaderTimeoutUs, 10*time.Second) }

func borne(us int64, without time.Duration) time.Duration {
	if us <= 0 {
		return without
	}
	return max(timeLeast, Lenient*time.Duration(us)*time.Microsecond)
}

func headMost(m *routingpb.Limits) int {
	if m.MaxHeaderBytes <= 0 {
		return 64 << 10
	}
	return int(min(Lenient*m.MaxHeaderBytes, 1<<20))
}

func bodyMost(m *routingpb.Limits) int64 {
	if m.MaxBodyBytes <= 0 {
		return 4 << 20
	}
	return Lenient * m.MaxBodyBytes
}

// holding is a body that is read within what all bodies together may hold; it is given back when the request has its
// answer.
type holding struct {
	s *Server
	r io.Reader
	n int64
}

func (h *holding) take(n int64) bool {
	h.n += n
	return h.s.held.Add(n) <= h.s.heldMost
}

func (h *holding) release() { h.s.held.Add(-h.n) }

// Read reads a body whose length is not known.
func (h *holding) Read(b []byte) (int, error) {
	n, err := h.r.Read(b)
	if !h.take(int64(n)) {
		err = errHeld
	}
	return n, err
}

// fits reports whether the header is within the limit.
func fits(r *http.Request, m *routingpb.Limits) bool {
	n := len(r.RequestURI) + len(r.Host)
	for name, vs := range r.Header {
		for _, v := range vs {
			n += len(name) + len(v) + 4
		}
	}
	return n <= headMost(m)
}
