// A stand-in backend. It seals its responses, records the requests that it runs by the client's request id, and
// misbehaves as configured.

package soak

import (
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"wallport/lab/rules"
	"wallport/platform"
)

// behaviour configures how a backend misbehaves; the zero value is healthy.
type behaviour struct {
	// slow multiplies the processing time of every request. share is the share of the requests to which the other
	// fields apply.
	slow  int
	share float64
	// hangs delays the response by a minute, which is longer than any client waits, reset resets the connection,
	// garbled sends invalid HTTP, truncated ends in the middle of the body, surplus sends a second response on the
	// connection, unsealed omits the seal, rejects fails with status 500, misdirected responds with status 421 as if
	// the request were meant for another backend, early responds before the request's body is read.
	hangs, reset, garbled, truncated, surplus, unsealed, rejects, misdirected, early bool
}

// backend is one incarnation of a stand-in backend.
type backend struct {
	journal   *journal
	record    *rules.Backend
	id        string
	pool      string
	zone      string
	addr      string
	slots     chan struct{}
	queued    atomic.Int64
	work      time.Duration
	behaviour atomic.Pointer[behaviour]

	server   *http.Server
	listener net.Listener
	draining atomic.Bool
	seals    atomic.Uint64
	once     sync.Once
}

// maxQueued bounds the number of requests that wait for a slot; further requests are rejected.
const maxQueued = 24

// startBackend starts a backend at an address and records it in the journal. slots is its number of concurrent
// requests, work the mean processing time.
func startBackend(j *journal, id, pool, zone, addr string, slots int, work time.Duration) (*backend, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	b := &backend{
		journal: j, id: id, pool: pool, zone: zone, addr: l.Addr().String(), slots: make(chan struct{}, slots), work: work, listener: l,
		record: &rules.Backend{ID: id, Pool: pool, Zone: zone, StartedAt: j.now(), Ended: rules.Never, DrainingSince: rules.Never},
	}
	b.behaviour.Store(&behaviour{})
	j.withLock(func() { j.Backends = append(j.Backends, b.record) })
	b.server = &http.Server{Handler: b, IdleTimeout: 20 * time.Second}
	go b.server.Serve(l)
	return b, nil
}

// crash stops the backend immediately and closes its connections.
func (b *backend) crash() {
	b.once.Do(func() {
		at := b.journal.now()
		b.journal.withLock(func() { b.record.Ended = at })
		b.server.Close()
	})
}

// ServeHTTP serves a health check or a request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		b.health(w)
		return
	}
	m := *b.behaviour.Load()
	if m.share < 1 && rand.Float64() >= m.share {
		m = behaviour{slow: m.slow}
	}
	var body []byte
	if !m.early {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return
		}
	}
	a := &rules.Arrival{Attempt: r.Header.Get(platform.HeaderAttempt), Backend: b.record, Method: r.Method, Target: r.RequestURI, Body: body, At: b.journal.now()}
	a.Sent = a.At
	b.journal.withLock(func() { b.journal.Arrivals = append(b.journal.Arrivals, a) })
	w.Header().Set(platform.HeaderAttempt, a.Attempt)
	w.Header().Set(platform.HeaderLoad, fmt.Sprintf("%d,%d,%d", len(b.slots), b.queued.Load(), cap(b.slots)))
	if b.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.Header.Get(platform.HeaderTarget) != b.id || m.misdirected {
		b.journal.withLock(func() { a.Misrouted, a.Status = true, http.StatusMisdirectedRequest })
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	budget, err := strconv.Atoi(r.Header.Get(platform.HeaderBudget))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !b.acquireSlot(r, time.Duration(budget)*time.Millisecond) {
		b.journal.withLock(func() { a.Status = http.StatusServiceUnavailable })
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.run(w, r, a, m)
}

// acquireSlot waits for a slot, at most for the request's remaining time; false means that the request is rejected.
func (b *backend) acquireSlot(r *http.Request, within time.Duration) bool {
	if b.queued.Add(1) > maxQueued {
		b.queued.Add(-1)
		return false
	}
	defer b.queued.Add(-1)
	wait := time.NewTimer(within)
	defer wait.Stop()
	select {
	case b.slots <- struct{}{}:
		return true
	case <-wait.C:
	case <-r.Context().Done():
	}
	return false
}

// run processes a request in the slot that it holds, releases the slot and responds according to the behaviour.
func (b *backend) run(w http.ResponseWriter, r *http.Request, a *rules.Arrival, m behaviour) {
	defer func() { <-b.slots }()
	b.journal.withLock(func() { a.Ran = true })
	work := b.work/2 + time.Duration(rand.Int64N(int64(b.work)))
	if m.slow > 1 {
		work *= time.Duration(m.slow)
	}
	if m.hangs {
		work = time.Minute
	}
	wait := time.NewTimer(work)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-r.Context().Done():
		return
	}
	status := http.StatusOK
	if m.rejects {
		status = http.StatusInternalServerError
	}
	body := responseBody(a.Attempt, b.pool)
	seal := fmt.Sprintf("%s.%d.%x", b.id, b.seals.Add(1), sha256.Sum256(body))[:40]
	b.journal.withLock(func() { a.Status, a.Answer, a.Seal = status, body, seal })
	if m.early {
		b.respondEarly(w, r, a, body, seal)
		return
	}
	b.respond(w, status, body, seal, m)
}

// health responds to a health check: status 503 if the backend is draining or hangs.
func (b *backend) health(w http.ResponseWriter) {
	w.Header().Set(platform.HeaderMember, b.id)
	if b.draining.Load() || b.behaviour.Load().hangs {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
