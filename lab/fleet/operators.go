// Operators of a real fleet: they edit the configuration, one edit after another or concurrently, while faults are
// injected, and poll every node ten times a second. Package check evaluates the recorded observations, as it does for
// the simulator. As in the simulator, each edit sets a unique ramp_us, the mark by which its configuration is
// recognised.

package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wallport/control/config"
	"wallport/lab/check"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// operators sends the operators' commands and records them for the checker.
type operators struct {
	fleet   *Fleet
	began   time.Time
	mu      sync.Mutex
	checker *check.Checker
	mark    int64
	wait    sync.WaitGroup
	upSince map[string]int64
	// lostAt and restoredAt are the times at which all processes were killed and restarted; 0 means that this has not
	// happened.
	lostAt, restoredAt atomic.Int64
}

const firstMark = 3_000_000

func newOperators(f *Fleet) *operators {
	return &operators{fleet: f, began: time.Now(), checker: check.New(), mark: firstMark, upSince: map[string]int64{}}
}

func (o *operators) now() int64 { return time.Since(o.began).Microseconds() }

// configInForce is a configuration with its version, as returned by a node.
type configInForce struct {
	Version string `json:"stamp"`
	Config  struct {
		Services []map[string]any `json:"services"`
		Rows     []any            `json:"rows"`
		Bookings []any            `json:"bookings"`
	} `json:"sheet"`
}

// mark returns the ramp_us of a configuration's first service, by which the configuration is recognised; 0 if there is
// none.
func (s configInForce) mark() (mark int64) {
	if len(s.Config.Services) > 0 {
		fmt.Sscan(fmt.Sprint(s.Config.Services[0]["ramp_us"]), &mark)
	}
	return mark
}

// readConfig returns the configuration that a node applies, read through the operators' API.
func (o *operators) readConfig(node string) (s configInForce, err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+o.fleet.OperatorAddrs[node]+"/v1/sheet", nil)
	if err != nil {
		return s, err
	}
	req.Header.Set("Authorization", "Bearer "+o.fleet.options.Token)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	resp, err := o.fleet.client.Do(req.WithContext(ctx))
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("read configuration: status %d", resp.StatusCode)
	}
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// sendEdits sends n complete configurations in the background, one every gap and without waiting for responses. If race
// is set, all edits are based on the same version; otherwise each edit is based on the version that its target node
// applies at that time.
func (o *operators) sendEdits(ctx context.Context, n int, gap time.Duration, race bool) {
	o.wait.Go(func() {
		base, err := o.readConfig("node-1")
		for i := range n {
			if ctx.Err() != nil {
				return
			}
			node := fmt.Sprintf("node-%d", (i*3+1)%o.fleet.options.Shape.Nodes)
			if !race {
				base, err = o.readConfig(node)
			}
			if err == nil && len(base.Config.Services) > 0 {
				o.wait.Go(func() { o.putConfig(node, base) })
			}
			time.Sleep(gap)
		}
	})
}

// putConfig sends a copy of base with a new mark to a node, and records the edit and its outcome.
func (o *operators) putConfig(node string, base configInForce) {
	o.mu.Lock()
	o.mark++
	mark := o.mark
	o.mu.Unlock()
	body := base.Config
	body.Services = slices.Clone(body.Services)
	body.Services[0] = maps.Clone(body.Services[0])
	body.Services[0]["ramp_us"] = mark
	version, _ := config.ParseVersion(0, base.Version)
	edit := check.Edit{Mark: mark, Base: version, Began: o.now(), Ended: 1 << 62, Code: check.CodeOpen}
	o.withChecker(func(c *check.Checker) { c.EditBegan(edit) })
	code, newVersion := o.send(node, body, base.Version)
	edit.Code, edit.Version, edit.Ended = code, newVersion, o.now()
	o.withChecker(func(c *check.Checker) { c.EditEnded(edit); c.Count("edits."+string(code), 1) })
}

// send sends a configuration that is based on the version base. It returns the code of the response,
// check.CodeOpen if there is no response, and the version that was written.
func (o *operators) send(node string, body any, base string) (wire.Code, wire.Version) {
	b, _ := json.Marshal(body)
	req, err := http.NewRequest(http.MethodPut, "http://"+o.fleet.OperatorAddrs[node]+"/v1/sheet", strings.NewReader(string(b)))
	if err != nil {
		return check.CodeOpen, wire.Version{}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+o.fleet.options.Token)
	req.Header.Set("If-Match", base)
	resp, err := o.fleet.client.Do(req)
	if err != nil {
		return check.CodeOpen, wire.Version{}
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	var got struct{ Stamp, Name string }
	json.Unmarshal(raw, &got)
	version, _ := config.ParseVersion(0, got.Stamp)
	if resp.StatusCode == http.StatusOK {
		return wire.CodeOK, version
	}
	return codeOf(got.Name), version
}

func (o *operators) withChecker(f func(c *check.Checker)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o.checker)
}

// watch reads the configuration of every node every 100 ms in the background until the context ends.
func (o *operators) watch(ctx context.Context) {
	for _, n := range o.fleet.Nodes {
		o.wait.Go(func() {
			for ctx.Err() == nil {
				sentAt := o.now()
				s, err := o.readConfig(n.Name)
				o.withChecker(func(c *check.Checker) { o.observe(c, n.Name, s, err, sentAt) })
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
}

// observe passes the configuration that a node applies to the checker. A node that does not respond in time counts as
// down; after its next response the checker again requires it to apply acknowledged configurations.
func (o *operators) observe(c *check.Checker, node string, s configInForce, err error, sentAt int64) {
	if err != nil || len(s.Config.Services) == 0 {
		if o.upSince[node] > 0 {
			c.Restarted(node)
		}
		o.upSince[node] = 0
		return
	}
	if o.upSince[node] == 0 {
		o.upSince[node] = o.now()
	}
	version, _ := config.ParseVersion(0, s.Version)
	c.InForce(node, version, s.mark(), sentAt, o.upSince[node])
}

// recordServed passes the callers' successful responses to the checker. Each key of seconds is a number of seconds
// since from, its value the number of responses in that second. If all processes were killed and restarted, the checker
// also tests the recovery.
func (o *operators) recordServed(from clock.Micros, seconds map[string]int) {
	for k, n := range seconds {
		var s int64
		fmt.Sscan(strings.TrimLeft(k, "0"), &s)
		for range n {
			o.checker.Served(from + s*clock.Second)
		}
	}
	if o.restoredAt.Load() > 0 {
		o.checker.Recovers(o.lostAt.Load(), o.restoredAt.Load())
	}
}
