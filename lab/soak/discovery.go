// The stand-in backends of a run, by pool, and the platform's list of them with its lag, its pages and its rate
// limit.

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
	// pageSize is how many members a page of the list has.
	pageSize = 7
	// delistAfter is how long a crashed backend stays on the list.
	delistAfter = 3 * time.Second
)

// member is a backend as the list shows it.
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

// listBehaviour is how the list misbehaves.
type listBehaviour struct {
	// fails answers 500, hangs does not answer, garbles sends half a page, loses omits every second page.
	fails, hangs, garbles, loses bool
}

// fleet holds the backends and serves the list.
type fleet struct {
	journal *journal
	layout  *layout
	mu      sync.Mutex
	// backends are the running ones, in the order in which they started.
	backends  []*backend
	members   map[string]member
	behaviour listBehaviour
	calls     []time.Time
	started   int
	// published is what the list showed, for its lag.
	published []publishedList
	server    *http.Server
	addr      string
}

type publishedList struct {
	at      time.Time
	members []member
}

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

// add starts a backend of a pool; an empty address is a new one.
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

// of returns the running backends of a pool that do not drain; "" is all pools.
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

// crash ends a backend at once; the list still shows it for a while.
func (f *fleet) crash(b *backend) {
	b.crash()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(b)
	time.AfterFunc(delistAfter, func() { f.delist(b) })
}

// forget removes a backend from the list.
func (f *fleet) delist(b *backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.members, b.id)
	f.publish()
}

func (f *fleet) remove(b *backend) {
	for i, other := range f.backends {
		if other == b {
			f.backends = append(f.backends[:i:i], f.backends[i+1:]...)
		}
	}
}

// drain drains a backend: the list shows it so, it serves on, and ends some time after its last due moment.
func (f *fleet) drain(b *backend) {
	f.mu.Lock()
	m := f.members[b.id]
	m.State = "draining"
	f.members[b.id] = m
	f.publish()
	f.mu.Unlock()
	b.draining.Store(true)
	// Clients of the list see it after its lag.
	time.AfterFunc(listLagMs*time.Millisecond, func() {
		at := f.journal.now()
		f.journal.withLock(func() { b.record.Shown = at })
	})
	time.AfterFunc(drainMs*time.Millisecond+2*time.Second, func() {
		f.mu.Lock()
		f.remove(b)
		f.mu.Unlock()
		b.crash()
		f.delist(b)
	})
}

// set changes how the list misbehaves.
func (f *fleet) setBehaviour(m listBehaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behaviour = m
}

// record keeps what the list shows from now on; the caller holds the lock.
func (f *fleet) publish() {
	newest := publishedList{at: time.Now()}
	for _, m := range f.members {
		newest.members = append(newest.members, m)
	}
	sort.Slice(newest.members, func(a, b int) bool { return newest.members[a].ID < newest.members[b].ID })
	f.published = append(f.published, newest)
}

// lagged returns the list as it was before the lag.
func (f *fleet) lagged(now time.Time) []member {
	for len(f.published) > 1 && now.Sub(f.published[1].at) >= listLagMs*time.Millisecond {
		f.published = f.published[1:]
	}
	if len(f.published) == 0 {
		return nil
	}
	return f.published[0].members
}

// allowed counts a call against the rate limit of all nodes together, and reports whether it is within it.
func (f *fleet) allowed(now time.Time) bool {
	for len(f.calls) > 0 && now.Sub(f.calls[0]) > time.Second {
		f.calls = f.calls[1:]
	}
	f.calls = append(f.calls, now)
	return len(f.calls) <= listRate
}

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

// close stops the list and all backends.
func (f *fleet) close() {
	f.server.Close()
	for _, b := range f.running("") {
		b.crash()
	}
}
