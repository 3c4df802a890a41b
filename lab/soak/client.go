// Clients that behave as the platform's documentation describes: they reuse connections, set deadlines and retry.
// Some abandon their requests or send them slowly.

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
	"wallport/runtime/clock"
)

// requestKind is a kind of request: its route's path, deadline and body size, whether it may be retried although an
// earlier attempt may have run, and its share of all requests.
type requestKind struct {
	name, method, path string
	repeatable         bool
	deadline           time.Duration
	bodyBytes          int
	share              float64
}

// Limits and probabilities of the clients' behaviour.
const (
	maxRetries     = 2
	connectTimeout = time.Second
	// abandonShare is the share of attempts whose client may close the connection before the response. slowShare is the
	// share of attempts that are sent slowly, reuseShare is the share of first attempts that may reuse a connection.
	abandonShare     = 0.02
	slowShare        = 0.005
	reuseShare       = 0.9
	maxResponseBytes = 1 << 20
)

// requestKinds are the kinds of requests in a run. Every configuration change modifies the route of "changing".
var requestKinds = []requestKind{
	{"search", "GET", "/search/", true, 800 * time.Millisecond, 0, 0.4},
	{"read", "GET", "/read/", true, 1500 * time.Millisecond, 0, 0.2},
	{"fix", "POST", "/fix/", false, 1500 * time.Millisecond, 700, 0.3},
	{"changing", "GET", "/changing/", true, 1500 * time.Millisecond, 0, 0.1},
}

// clients sends the requests of a run.
type clients struct {
	journal *journal
	rate    float64
	// addrs holds the addresses of the machines' relays by machine name.
	addrs map[string]string
	names []string

	mu        sync.Mutex
	idleConns map[string][]*idleConn
	next      int
	all       sync.WaitGroup
}

// idleConn is a connection to a machine that may be reused.
type idleConn struct {
	conn net.Conn
	r    *bufio.Reader
	used time.Time
}

// maxConnIdle is the idle time after which a connection is not reused. It is below the configured idle time-out, at
// which the node closes the connection.
const maxConnIdle = 8 * time.Second

// run sends requests at the configured mean rate until the context ends, waits for those in flight and closes the
// idle connections.
func (c *clients) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(uint64(c.next), 7))
	for ctx.Err() == nil {
		wait := time.Duration(rng.ExpFloat64() / c.rate * float64(time.Second))
		select {
		case <-ctx.Done():
		case <-time.After(wait):
			k := drawKind(rng)
			c.all.Go(func() { c.request(k) })
		}
	}
	c.all.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, all := range c.idleConns {
		for _, k := range all {
			k.conn.Close()
		}
	}
}

// drawKind draws a kind of request by the shares.
func drawKind(rng *rand.Rand) requestKind {
	x := rng.Float64()
	for _, k := range requestKinds {
		if x -= k.share; x < 0 {
			return k
		}
	}
	return requestKinds[0]
}

// request sends one request and the retries that a client may send.
func (c *clients) request(k requestKind) {
	deadline := time.Now().Add(k.deadline)
	for n := 0; n <= maxRetries && time.Until(deadline) > 20*time.Millisecond; n++ {
		attempt := c.sendAttempt(k, c.names[rand.IntN(len(c.names))], n, deadline)
		if attempt.Served() || attempt.Canceled {
			return
		}
		if !k.repeatable && !promisesNotRun(attempt.Status) && attempt.Read > 0 {
			return
		}
		pause := min(time.Duration(attempt.RetryAfterUs)*time.Microsecond, time.Until(deadline)/3)
		time.Sleep(max(pause, 5*time.Millisecond))
	}
}

// promisesNotRun reports whether a status guarantees that the request has not run and will not run.
func promisesNotRun(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// attemptAt sends a single attempt of a kind to a machine, without retries.
func (c *clients) attemptAt(k requestKind, machine string) *rules.Attempt {
	return c.sendAttempt(k, machine, 0, time.Now().Add(k.deadline))
}

// newAttempt creates an attempt with a unique id and records it in the journal; n is the number of earlier attempts.
func (c *clients) newAttempt(k requestKind, machine string, n int, deadline time.Time) *rules.Attempt {
	c.mu.Lock()
	c.next++
	id := fmt.Sprintf("t%06d", c.next)
	c.mu.Unlock()
	attempt := &rules.Attempt{
		ID: id, Class: k.name, Machine: machine, Host: siteHost, Method: k.method, Path: k.path + id, Target: k.path + id + "?q=" + id,
		Repeatable: k.repeatable, Sent: c.journal.now(), Ended: rules.Never, Deadline: c.journal.now() + time.Until(deadline).Microseconds(), Further: n > 0,
	}
	if k.bodyBytes > 0 {
		attempt.Body = bytes.Repeat([]byte(id), k.bodyBytes/len(id))
	}
	c.journal.withLock(func() { c.journal.Attempts = append(c.journal.Attempts, attempt) })
	return attempt
}

// sendAttempt sends one attempt and waits for the response. While the attempt is in flight it is modified only under
// the journal's lock.
func (c *clients) sendAttempt(k requestKind, machine string, n int, deadline time.Time) *rules.Attempt {
	attempt := c.newAttempt(k, machine, n, deadline)
	conn := c.connect(attempt, n == 0, deadline)
	if conn == nil {
		c.end(attempt, func() {})
		return attempt
	}
	conn.conn.SetDeadline(deadline)
	abandons := rand.Float64() < abandonShare
	if abandons {
		early := time.AfterFunc(time.Duration(rand.Int64N(int64(k.deadline/8))), func() {
			c.journal.withLock(func() { attempt.Canceled = attempt.Ended == rules.Never })
			conn.conn.Close()
		})
		defer early.Stop()
	}
	err := send(conn.conn, requestText(attempt, time.Until(deadline)), rand.Float64() < slowShare)
	if err != nil {
		conn.conn.Close()
		c.end(attempt, func() {})
		return attempt
	}
	c.journal.withLock(func() { attempt.Read = max(1, c.journal.now()) })
	resp, body, err := receive(conn.r, k.method)
	switch {
	case err != nil:
		conn.conn.Close()
		late := time.Now().After(deadline)
		c.end(attempt, func() { attempt.Canceled = attempt.Canceled || late; attempt.Aborted = !attempt.Canceled })
	default:
		c.end(attempt, func() { recordResponse(attempt, resp, body) })
		c.releaseConn(attempt.Machine, conn, resp)
	}
	return attempt
}

// end applies f to an attempt and records the attempt's end.
func (c *clients) end(attempt *rules.Attempt, f func()) {
	at := c.journal.now()
	c.journal.withLock(func() { f(); attempt.Ended = at })
}

// recordResponse records a response in its attempt.
func recordResponse(attempt *rules.Attempt, resp *http.Response, body []byte) {
	attempt.Status, attempt.Answer, attempt.Seal = resp.StatusCode, body, resp.Header.Get(platform.HeaderSeal)
	attempt.Seals = splitSeals(resp.Header.Values(platform.HeaderPartSeals))
	attempt.Missing, _ = strconv.Atoi(resp.Header.Get(platform.HeaderMissing))
	attempt.Generated = attempt.Seal == "" && len(attempt.Seals) == 0
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		attempt.RetryAfterUs = clock.Micros(s * float64(clock.Second))
	}
}

// connect returns an idle connection if mayReuse is set, reuse is drawn and a usable idle connection exists. Otherwise
// it opens a new connection, and returns nil if that fails.
func (c *clients) connect(attempt *rules.Attempt, mayReuse bool, deadline time.Time) *idleConn {
	if mayReuse && rand.Float64() < reuseShare {
		c.mu.Lock()
		for all := c.idleConns[attempt.Machine]; len(all) > 0; all = c.idleConns[attempt.Machine] {
			k := all[len(all)-1]
			c.idleConns[attempt.Machine] = all[:len(all)-1]
			if time.Since(k.used) < maxConnIdle {
				c.mu.Unlock()
				return k
			}
			k.conn.Close()
		}
		c.mu.Unlock()
	}
	conn, err := net.DialTimeout("tcp", c.addrs[attempt.Machine], min(connectTimeout, time.Until(deadline)))
	if err != nil {
		return nil
	}
	return &idleConn{conn: conn, r: bufio.NewReader(conn)}
}

// releaseConn adds a connection to the idle connections, or closes it if the response announces that the server closes
// the connection or if the server has sent more bytes than the response.
func (c *clients) releaseConn(machine string, k *idleConn, resp *http.Response) {
	if resp.Close || k.r.Buffered() > 0 {
		k.conn.Close()
		return
	}
	k.conn.SetDeadline(time.Time{})
	k.used = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleConns[machine] = append(c.idleConns[machine], k)
}
