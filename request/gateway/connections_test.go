package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wallport/api/routingpb"
	"wallport/runtime/clock"
)

// TestRepeatedLimitsReuseHTTPServer alternates between two sets of limits: at most one http.Server may be
// started for each of them.
func TestRepeatedLimitsReuseHTTPServer(t *testing.T) {
	w := newFixture(t, nil)
	for i := range int64(20) {
		w.limits(&routingpb.Limits{IdleTimeoutUs: 10*clock.Second + i%2})
		c := w.dial()
		c.send(get("a"))
		c.readResponse("GET")
	}
	w.server.connections.mu.Lock()
	defer w.server.connections.mu.Unlock()
	must.Between(t, 1, len(w.server.connections.httpServers), 2)
}

// TestLateResponseHasFullWriteTimeout has a backend that takes longer to respond than the write time-out. The
// client must still get the response, since the time-out restarts when the response is available.
func TestLateResponseHasFullWriteTimeout(t *testing.T) {
	const timeout = 100 * time.Millisecond
	w := newFixture(t, func(_ *fixture, c *Config) { c.WriteTimeout = timeout })
	h := w.block("/a")
	c := w.dial()
	sent := time.Now()
	c.send(get("a"))
	<-h.enter
	for time.Since(sent) < 2*timeout {
		time.Sleep(timeout / 10)
	}
	h.leave["/a"] <- true
	_, body := c.readResponse("GET")
	must.Eq(t, "/a", body)
}
