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
	// maxBodiesBytes bounds what the bodies of all requests hold together, in bytes.
	maxBodiesBytes     = 32 << 20
	defaultBodyTimeout = 10 * time.Second
	minTimeout         = 200 * time.Millisecond
)

func (s *Server) limits() *routingpb.Limits {
	if c := s.config.Snapshot(); c != nil && c.Routing != nil && c.Routing.Limits != nil {
		return c.Routing.Limits
	}
	return &routingpb.Limits{}
}

func idleTimeout(m *routingpb.Limits) time.Duration {
	return lenientTimeout(m.IdleTimeoutUs, 30*time.Second)
}
func headTimeout(m *routingpb.Limits) time.Duration {
	return lenientTimeout(m.HeaderTimeoutUs, 10*time.Second)
}

func lenientTimeout(us int64, without time.Duration) time.Duration {
	if us <= 0 {
		return without
	}
	return max(minTimeout, Leniency*time.Duration(us)*time.Microsecond)
}

func maxHeaderBytes(m *routingpb.Limits) int {
	if m.MaxHeaderBytes <= 0 {
		return 64 << 10
	}
	return int(min(Leniency*m.MaxHeaderBytes, 1<<20))
}

func maxBodyBytes(m *routingpb.Limits) int64 {
	if m.MaxBodyBytes <= 0 {
		return 4 << 20
	}
	return Leniency * m.MaxBodyBytes
}

// bodyReservation is a body that is read within what all bodies together may hold; it is given back when the request has its
// answer.
type bodyReservation struct {
	server   *Server
	reader   io.Reader
	reserved int64
}

func (h *bodyReservation) reserve(n int64) bool {
	h.reserved += n
	return h.server.bodyBytes.Add(n) <= h.server.maxBodyBytes
}

func (h *bodyReservation) release() { h.server.bodyBytes.Add(-h.reserved) }

// Read reads a body whose length is not known.
func (h *bodyReservation) Read(b []byte) (int, error) {
	n, err := h.reader.Read(b)
	if !h.reserve(int64(n)) {
		err = errBodyBudget
	}
	return n, err
}

// headerFits reports whether the header is within the limit.
func headerFits(r *http.Request, m *routingpb.Limits) bool {
	n := len(r.RequestURI) + len(r.Host)
	for name, vs := range r.Header {
		for _, v := range vs {
			n += len(name) + len(v) + 4
		}
	}
	return n <= maxHeaderBytes(m)
}
