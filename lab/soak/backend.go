// A stand-in backend: it seals its responses, records what it runs by the client's request id, and misbehaves as
// told.

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

// behaviour is how a backend misbehaves; the zero value is healthy.
type behaviour struct {
	// slow multiplies the work; share is the share of the requests to which the rest applies.
	slow  int
	share float64
	// hangs never answers, reset closes the connection, garbled sends garbage, truncated ends in the middle,
	// surplus sends more after a complete response, unsealed omits the seal, rejects fails with 500, misdirected
	// claims that another backend has the address, early answers before the body is read.
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

// maxQueued is how many requests wait for a slot; further ones are rejected.
const maxQueued = 24

// startBackend starts a backend at an address.
func startBackend(j *journal, id, pool, zone, addr string, slots int, work time.Duration) (*backend, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	b := &backend{
		journal: j, id: id, pool: pool, zone: zone, addr: l.Addr().String(), slots: make(chan struct{}, slots), work: work, listener: l,
		record: &rules.Backend{ID: id, Pool: pool, Zone: zone, Born: j.now(), Ended: rules.Never, Shown: rules.Never},
	}
	b.behaviour.Store(&behaviour{})
	j.withLock(func() { j.Backends = append(j.Backends, b.record) })
	b.server = &http.Server{Handler: b, IdleTimeout: 20 * time.Second}
	go b.server.Serve(l)
	return b, nil
}

// crash ends the backend at once; its connections are reset.
func (b *backend) crash() {
	b.once.Do(func() {
		at := b.journal.now()
		b.journal.withLock(func() { b.record.Ended = at })
		b.server.Close()
	})
}

// ServeHTTP serves a request.
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
		b.journal.withLock(func() { a.Wrong, a.Status = true, http.StatusMisdirectedRequest })
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

// acquireSlot waits for a slot, at most as long as the request has; false means that it is rejected.
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

// run works on a request and responds as the behaviour says.
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

func (b *backend) health(w http.ResponseWriter) {
	w.Header().Set(platform.HeaderMember, b.id)
	if b.draining.Load() || b.behaviour.Load().hangs {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
