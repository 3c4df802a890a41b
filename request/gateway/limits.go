package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"wallport/api/routingpb"
	"wallport/runtime/clock"
)

const (
	// Leniency is the factor by which a request may exceed the configured limits before it is rejected.
	Leniency = 2

	// maxBodiesBytes bounds the total size of the bodies of all requests in flight, so that slow or large
	// requests cannot exhaust the process's memory. A request that exceeds the bound is rejected with status 503.
	maxBodiesBytes = 32 << 20
	// defaultBodyTimeout bounds the reading of a body, in addition to the time-out of the header.
	defaultBodyTimeout = 10 * time.Second
	// minTimeout is the lower bound of the time-outs that a routing table can set.
	minTimeout = 200 * time.Millisecond

	// The default limits apply if the routing table does not set its own. maxMaxHeaderBytes is the upper bound
	// of the limit on the header that a routing table can set.
	defaultIdleTimeout    = 30 * time.Second
	defaultHeadTimeout    = 10 * time.Second
	defaultMaxHeaderBytes = 64 << 10
	defaultMaxBodyBytes   = 4 << 20
	maxMaxHeaderBytes     = 1 << 20
)

// limits returns the limits of the current routing table, or empty limits if there are none.
func (s *Server) limits() *routingpb.Limits {
	if view := s.config.Snapshot(); view != nil && view.Routing != nil && view.Routing.Limits != nil {
		return view.Routing.Limits
	}
	return &routingpb.Limits{}
}

func idleTimeout(l *routingpb.Limits) time.Duration {
	return lenientTimeout(l.IdleTimeoutUs, defaultIdleTimeout)
}

func headTimeout(l *routingpb.Limits) time.Duration {
	return lenientTimeout(l.HeaderTimeoutUs, defaultHeadTimeout)
}

func lenientTimeout(configured clock.Micros, unset time.Duration) time.Duration {
	if configured <= 0 {
		return unset
	}
	return max(minTimeout, Leniency*clock.Duration(configured))
}

func maxHeaderBytes(l *routingpb.Limits) int {
	if l.MaxHeaderBytes <= 0 {
		return defaultMaxHeaderBytes
	}
	return int(min(Leniency*l.MaxHeaderBytes, maxMaxHeaderBytes))
}

func maxBodyBytes(l *routingpb.Limits) int64 {
	if l.MaxBodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return Leniency * l.MaxBodyBytes
}

// errBodyBudget is returned when the bodies of all requests together exceed maxBodiesBytes.
var errBodyBudget = errors.New("too many bodies at once")

// bodyReservation counts the bytes of one body towards the bound for all bodies. It is released once the
// request has its response.
type bodyReservation struct {
	server   *Server
	reader   io.Reader
	reserved int64
}

// reserve adds n bytes and reports whether all bodies together are within the bound.
func (b *bodyReservation) reserve(n int64) bool {
	b.reserved += n
	return b.server.bodyBytes.Add(n) <= b.server.maxBodyBytes
}

func (b *bodyReservation) release() { b.server.bodyBytes.Add(-b.reserved) }

// Read reads a body of unknown length and reserves its bytes as they arrive.
func (b *bodyReservation) Read(buf []byte) (int, error) {
	n, err := b.reader.Read(buf)
	if !b.reserve(int64(n)) {
		err = errBodyBudget
	}
	return n, err
}

// headerFits reports whether the size of a request's target and header fields is within the limit.
func headerFits(r *http.Request, l *routingpb.Limits) bool {
	const punctuation = len(": \r\n")
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + punctuation
		}
	}
	return size <= maxHeaderBytes(l)
}
