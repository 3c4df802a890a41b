// The stand-in backends of a run, and the platform's list of these backends. The list is paginated and rate-limited,
// and shows changes after a lag.

package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	healthPath = "/health"
	// pageSize is the maximum number of members on a page of the list.
	pageSize = 7
	// delistAfter is the time for which a crashed backend stays on the list.
	delistAfter = 3 * time.Second
)

// member is a backend on the list.
type member struct {
	ID       string `json:"member_id"`
	Pool     string `json:"pool"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Revision string `json:"revision"`
	Capacity int    `json:"capacity"`
	State    string `json:"admin_state"`
	WarmUpMs int    `json:"slow_start_ms"`
}

// listBehaviour configures how the list misbehaves; the zero value is healthy.
type listBehaviour struct {
	// fails responds with status 500, hangs sends no response, garbles sends half of each page, loses responds with
	// status 500 to a random half of the requests for later pages.
	fails, hangs, garbles, loses bool
}

// fleet holds the running backends and serves the list.
type fleet struct {
	journal *journal
	layout  *layout
	mu      sync.Mutex
	// backends are the running backends in the order of their starts.
	backends  []*backend
	members   map[string]member
	behaviour listBehaviour
	calls     []time.Time
	started   int
	// published holds past states of the list, oldest first, to simulate its lag.
	published []publishedList
	server    *http.Server
	addr      string
}

// publishedList is a state of the list and the time at which the list entered that state.
type publishedList struct {
	at      time.Time
	members []member
}

// newFleet creates a fleet without backends and starts to serve its list.
func newFleet(j *journal, p *layout) (*fleet, error) {
	f := &fleet{journal: j, layout: p, members: map[string]member{}}
	l, err := net.Listen("tcp", net.JoinHostPort(p.standInIP(), "0"))
	if err != nil {
		return nil, err
	}
	f.addr = l.Addr().String()
	f.server = &http.Server{Handler: http.HandlerFunc(f.serve)}
	go f.server.Serve(l)
	return f, nil
}

// add starts a backend of a pool and lists it; an empty address means a new one.
func (f *fleet) add(pool string, slots int, work time.Duration, addr string) (*backend, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	if addr == "" {
		addr = net.JoinHostPort(f.layout.standInIP(), "0")
	}
	b, err := startBackend(f.journal, fmt.Sprintf("i-%s-%d", pool, f.started), pool, zoneOf(f.started), addr, slots, work)
	if err != nil {
		return nil, err
	}
	f.backends = append(f.backends, b)
	f.members[b.id] = member{ID: b.id, Pool: pool, Address: b.addr, Zone: b.zone, Revision: "v1", Capacity: slots, State: "in_service"}
	f.publish()
	return b, nil
}

// running returns the running backends of a pool that are not draining; "" means all pools.
func (f *fleet) running(pool string) (out []*backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.backends {
		if (pool == "" || b.pool == pool) && !b.draining.Load() {
			out = append(out, b)
		}
	}
	return out
}

// crash stops a backend immediately. It stays on the list for delistAfter.
func (f *fleet) crash(b *backend) {
	b.crash()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(b)
	time.AfterFunc(delistAfter, func() { f.delist(b) })
}

// delist removes a backend from the list.
func (f *fleet) delist(b *backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.members, b.id)
	f.publish()
}

// remove removes a backend from the running backends; the caller holds the lock.
func (f *fleet) remove(b *backend) {
	for i, other := range f.backends {
		if other == b {
			f.backends = append(f.backends[:i:i], f.backends[i+1:]...)
		}
	}
}

// drain marks a backend as draining on the list. The backend continues to serve for drainMs, within which nodes must
// stop sending requests to it, and for 2 s more. After that it is stopped and delisted.
func (f *fleet) drain(b *backend) {
	f.mu.Lock()
	m := f.members[b.id]
	m.State = "draining"
	f.members[b.id] = m
	f.publish()
	f.mu.Unlock()
	b.draining.Store(true)
	// Readers of the list see the change after the list's lag.
	time.AfterFunc(listLagMs*time.Millisecond, func() {
		at := f.journal.now()
		f.journal.withLock(func() { b.record.DrainingSince = at })
	})
	time.AfterFunc(drainMs*time.Millisecond+2*time.Second, func() {
		f.mu.Lock()
		f.remove(b)
		f.mu.Unlock()
		b.crash()
		f.delist(b)
	})
}

// setBehaviour sets how the list misbehaves.
func (f *fleet) setBehaviour(m listBehaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behaviour = m
}

// publish records the present state of the list; the caller holds the lock.
func (f *fleet) publish() {
	newest := publishedList{at: time.Now()}
	for _, m := range f.members {
		newest.members = append(newest.members, m)
	}
	sort.Slice(newest.members, func(a, b int) bool { return newest.members[a].ID < newest.members[b].ID })
	f.published = append(f.published, newest)
}

// lagged returns the list as it was listLagMs before now; the caller holds the lock.
func (f *fleet) lagged(now time.Time) []member {
	for len(f.published) > 1 && now.Sub(f.published[1].at) >= listLagMs*time.Millisecond {
		f.published = f.published[1:]
	}
	if len(f.published) == 0 {
		return nil
	}
	return f.published[0].members
}

// allowed counts a call against the rate limit, which all nodes share, and reports whether the call is within it. The
// caller holds the lock.
func (f *fleet) allowed(now time.Time) bool {
	for len(f.calls) > 0 && now.Sub(f.calls[0]) > time.Second {
		f.calls = f.calls[1:]
	}
	f.calls = append(f.calls, now)
	return len(f.calls) <= listRate
}

// serve serves one page of the list.
func (f *fleet) serve(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	now := time.Now()
	m, allowed, members := f.behaviour, f.allowed(now), f.lagged(now)
	f.mu.Unlock()
	from, _ := strconv.Atoi(r.URL.Query().Get("page_token"))
	switch {
	case !allowed:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case m.hangs:
		<-r.Context().Done()
		return
	case m.fails, m.loses && from > 0 && rand.IntN(2) == 0:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	from = max(0, min(from, len(members)))
	to := min(from+pageSize, len(members))
	page := map[string]any{"members": members[from:to], "next_token": nil}
	if to < len(members) {
		page["next_token"] = strconv.Itoa(to)
	}
	text, _ := json.Marshal(page)
	if m.garbles {
		text = text[:len(text)/2]
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}

// close closes the server of the backend list and crashes all backends that are not draining.
func (f *fleet) close() {
	f.server.Close()
	for _, b := range f.running("") {
		b.crash()
	}
}
