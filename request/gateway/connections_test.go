package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wallport/api/routingpb"
)

// Limits that come and go leave no more behind than there are different ones.
func TestRepeatedLimitsReuseHTTPServer(t *testing.T) {
	w := newWorld(t, nil)
	for i := range int64(20) {
		w.limits(&routingpb.Limits{IdleTimeoutUs: 10_000_000 + i%2})
		c := w.dial()
		c.send(get("a"))
		c.readResponse("GET")
	}
	w.server.connections.mu.Lock()
	defer w.server.connections.mu.Unlock()
	must.Between(t, 1, len(w.server.connections.httpServers), 2)
}

// How long a client may take to take its answer counts from when there is one.
func TestLateResponseHasFullWriteTimeout(t *testing.T) {
	const within = 100 * time.Millisecond
	w := newWorld(t, func(_ *world, c *Config) { c.WriteTimeout = within })
	h := w.block("/a")
	c := w.dial()
	sent := time.Now()
	c.send(get("a"))
	<-h.enter
	for time.Since(sent) < 2*within {
		time.Sleep(within / 10)
	}
	h.leave["/a"] <- true
	_, body := c.readResponse("GET")
	must.Eq(t, "/a", body)
}
