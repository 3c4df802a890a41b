// Clients as the platform's pages describe them: kept connections, deadlines,
// further tries of their own; and some that leave early, or send and read badly.

package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"wallport/lab/rules"
	"wallport/platform"
)

// kind is a kind of request: its route's path and what clients expect of it.
type kind struct {
	name, method, path string
	repeatable         bool
	deadline           time.Duration
	bodyBytes          int
	share              float64
}

// Figures of clients.
const (
	furtherTries = 2
	connectMost  = time.Second
	// leaveShare of the requests are left by their client before the answer; slowShare send their head slowly.
	leaveShare = 0.02
	slowShare  = 0.005
	keepShare  = 0.9
	answerMost = 1 << 20
)

// kinds are the requests of a run; those of changing routes come beside them.
var kinds = []kind{
	{"search", "GET", "/search/", true, 800 * time.Millisecond, 0, 0.4},
	{"read", "GET", "/read/", true, 1500 * time.Millisecond, 0, 0.2},
	{"fix", "POST", "/fix/", false, 1500 * time.Millisecond, 700, 0.3},
	{"changing", "GET", "/changing/", true, 1500 * time.Millisecond, 0, 0.1},
}

// clients send the requests of a run.
type clients struct {
	j    *journal
	rate float64
	// to are the addresses of the machines by their names, through the relays.
	to    map[string]string
	names []string

	mu   sync.Mutex
	kept map[string][]*kept
	next int
	all  sync.WaitGroup
}

// kept is a connection to a machine.
type kept struct {
	conn net.Conn
	r    *bufio.Reader
	used time.Time
}

// idleMost is how long a connection may rest and be taken up again: less than the limit that is configured.
const idleMost = 8 * time.Second

// run sends requests at the rate until the context ends, and waits for what is under way.
func (c *clients) run(ctx context.Context) {
	drawn := rand.New(rand.NewPCG(uint64(c.next), 7))
	for ctx.Err() == nil {
		wait := time.Duration(drawn.ExpFloat64() / c.rate * float64(time.Second))
		select {
		case <-ctx.Done():
		case <-time.After(wait):
			k := drawKind(drawn)
			c.all.Go(func() { c.request(k) })
		}
	}
	c.all.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, all := range c.kept {
		for _, k := range all {
			k.conn.Close()
		}
	}
}

func drawKind(drawn *rand.Rand) kind {
	x := drawn.Float64()
	for _, k := range kinds {
		if x -= k.share; x < 0 {
			return k
		}
	}
	return kinds[0]
}

// request sends one request, with the further tries that clients may make.
func (c *clients) request(k kind) {
	deadline := time.Now().Add(k.deadline)
	for n := 0; n <= furtherTries && time.Until(deadline) > 20*time.Millisecond; n++ {
		t := c.try(k, c.names[rand.IntN(len(c.names))], n, deadline)
		if t.Served() || t.GaveUp {
			return
		}
		if !k.repeatable && !promises(t.Status) && t.Read > 0 {
			return
		}
		pause := min(time.Duration(t.RetryAfterUs)*time.Microsecond, time.Until(deadline)/3)
		time.Sleep(max(pause, 5*time.Millisecond))
	}
}

// promises tells that a status means that a request has not run and never will.
func promises(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// tryAt sends a request of a kind to a machine, once.
func (c *clients) tryAt(k kind, machine string) *rules.Try {
	return c.try(k, machine, 0, time.Now().Add(k.deadline))
}

// newTry notes a try in the journal.
func (c *clients) newTry(k kind, machine string, n int, deadline time.Time) *rules.Try {
	c.mu.Lock()
	c.next++
	id := fmt.Sprintf("t%06d", c.next)
	c.mu.Unlock()
	t := &rules.Try{
		ID: id, Class: k.name, Machine: machine, Host: siteHost, Method: k.method, Path: k.path + id, Target: k.path + id + "?q=" + id,
		Repeatable: k.repeatable, Sent: c.j.now(), Ended: rules.Never, Deadline: c.j.now() + time.Until(deadline).Microseconds(), Further: n > 0,
	}
	if k.bodyBytes > 0 {
		t.Body = bytes.Repeat([]byte(id), k.bodyBytes/len(id))
	}
	c.j.with(func() { c.j.Tries = append(c.j.Tries, t) })
	return t
}

// try sends a request once. What is noted while it is under way is noted under the journal's lock.
func (c *clients) try(k kind, machine string, n int, deadline time.Time) *rules.Try {
	t := c.newTry(k, machine, n, deadline)
	conn := c.connect(t, n == 0, deadline)
	if conn == nil {
		c.end(t, func() {})
		return t
	}
	conn.conn.SetDeadline(deadline)
	leaves := rand.Float64() < leaveShare
	if leaves {
		early := time.AfterFunc(time.Duration(rand.Int64N(int64(k.deadline/8))), func() {
			c.j.with(func() { t.GaveUp = t.Ended == rules.Never })
			conn.conn.Close()
		})
		defer early.Stop()
	}
	err := send(conn.conn, request(t, time.Until(deadline)), rand.Float64() < slowShare)
	if err != nil {
		conn.conn.Close()
		c.end(t, func() {})
		return t
	}
	c.j.with(func() { t.Read = max(1, c.j.now()) })
	resp, body, err := receive(conn.r, k.method)
	switch {
	case err != nil:
		conn.conn.Close()
		late := time.Now().After(deadline)
		c.end(t, func() { t.GaveUp = t.GaveUp || late; t.Cut = !t.GaveUp })
	default:
		c.end(t, func() { answered(t, resp, body) })
		c.give(t.Machine, conn, resp)
	}
	return t
}

func (c *clients) end(t *rules.Try, f func()) {
	at := c.j.now()
	c.j.with(func() { f(); t.Ended = at })
}

// answered notes an answer.
func answered(t *rules.Try, resp *http.Response, body []byte) {
	t.Status, t.Answer, t.Seal = resp.StatusCode, body, resp.Header.Get(platform.HeaderSeal)
	t.Seals = splitSeals(resp.Header.Values(platform.HeaderPartSeals))
	t.Missing, _ = strconv.Atoi(resp.Header.Get(platform.HeaderMissing))
	t.Own = t.Seal == "" && len(t.Seals) == 0
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		t.RetryAfterUs = int64(s * second)
	}
}

// connect takes up a kept connection, or makes a new one.
func (c *clients) connect(t *rules.Try, mayKeep bool, deadline time.Time) *kept {
	if mayKeep && rand.Float64() < keepShare {
		c.mu.Lock()
		for all := c.kept[t.Machine]; len(all) > 0; all = c.kept[t.Machine] {
			k := all[len(all)-1]
			c.kept[t.Machine] = all[:len(all)-1]
			if time.Since(k.used) < idleMost {
				c.mu.Unlock()
				return k
			}
			k.conn.Close()
		}
		c.mu.Unlock()
	}
	conn, err := net.DialTimeout("tcp", c.to[t.Machine], min(connectMost, time.Until(deadline)))
	if err != nil {
		return nil
	}
	return &kept{conn: conn, r: bufio.NewReader(conn)}
}

// give puts a connection back, unless it ends.
func (c *clients) give(machine string, k *kept, resp *http.Response) {
	if resp.Close || k.r.Buffered() > 0 {
		k.conn.Close()
		return
	}
	k.conn.SetDeadline(time.Time{})
	k.used = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept[machine] = append(c.kept[machine], k)
}
