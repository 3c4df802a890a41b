// Operators of a real fleet: they edit the sheet in storms and races while things
// fail, and every node is looked at ten times a second; the simulator's judge of
// sheets reads the record. Each sheet is known by its ramp, as in the simulator.

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
	"wallport/runtime/wire"
)

type operators struct {
	f     *Fleet
	began time.Time
	mu    sync.Mutex
	judge *check.Judge
	mark  int64
	wait  sync.WaitGroup
	up    map[string]int64
	// lost and back are when everything was lost and started again.
	lost, back atomic.Int64
}

const firstMark = 3_000_000

func newOperators(f *Fleet) *operators {
	return &operators{f: f, began: time.Now(), judge: check.New(), mark: firstMark, up: map[string]int64{}}
}

func (o *operators) now() int64 { return time.Since(o.began).Microseconds() }

type sheetNow struct {
	Stamp string
	Sheet struct {
		Services []map[string]any `json:"services"`
		Rows     []any            `json:"rows"`
		Bookings []any            `json:"bookings"`
	}
}

// mark is the ramp by which a sheet is known; 0 where there is none.
func (s sheetNow) mark() (mark int64) {
	if len(s.Sheet.Services) > 0 {
		fmt.Sscan(fmt.Sprint(s.Sheet.Services[0]["ramp_us"]), &mark)
	}
	return mark
}

// read is the sheet in force at a node, as an operator reads it.
func (o *operators) read(node string) (s sheetNow, err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+o.f.Opers[node]+"/v1/sheet", nil)
	if err != nil {
		return s, err
	}
	req.Header.Set("Authorization", "Bearer "+o.f.o.Token)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	resp, err := o.f.client.Do(req.WithContext(ctx))
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("status %d", resp.StatusCode)
	}
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// edits sends so many whole sheets: in a race all at once, based on one stamp;
// in a storm one after another, each based on what is in force then.
func (o *operators) edits(ctx context.Context, n int, gap time.Duration, race bool) {
	o.wait.Go(func() {
		base, err := o.read("node-1")
		for i := range n {
			if ctx.Err() != nil {
				return
			}
			node := fmt.Sprintf("node-%d", (i*3+1)%o.f.o.Shape.Nodes)
			if !race {
				base, err = o.read(node)
			}
			if err == nil && len(base.Sheet.Services) > 0 {
				o.wait.Go(func() { o.put(node, base) })
			}
			time.Sleep(gap)
		}
	})
}

func (o *operators) put(node string, base sheetNow) {
	o.mu.Lock()
	o.mark++
	mark := o.mark
	o.mu.Unlock()
	body := base.Sheet
	body.Services = slices.Clone(body.Services)
	body.Services[0] = maps.Clone(body.Services[0])
	body.Services[0]["ramp_us"] = mark
	stamp, _ := config.ParseVersion(0, base.Stamp)
	t := check.Try{Mark: mark, Base: stamp, Began: o.now(), Ended: 1 << 62, Code: "open"}
	o.tell(func(j *check.Judge) { j.Tried(t) })
	code, taken := o.send(node, body, base.Stamp)
	t.Code, t.Stamp, t.Ended = code, taken, o.now()
	o.tell(func(j *check.Judge) { j.Retried(t); j.Count("edits."+code, 1) })
}

// send puts a sheet and tells what came of it, "open" where no answer came.
func (o *operators) send(node string, body any, base string) (string, wire.Version) {
	b, _ := json.Marshal(body)
	req, err := http.NewRequest(http.MethodPut, "http://"+o.f.Opers[node]+"/v1/sheet", strings.NewReader(string(b)))
	if err != nil {
		return "open", wire.Version{}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+o.f.o.Token)
	req.Header.Set("If-Match", base)
	resp, err := o.f.client.Do(req)
	if err != nil {
		return "open", wire.Version{}
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	var got struct{ Stamp, Name string }
	json.Unmarshal(raw, &got)
	stamp, _ := config.ParseVersion(0, got.Stamp)
	if resp.StatusCode == http.StatusOK {
		return "ok", stamp
	}
	return codeOf(got.Name), stamp
}

func (o *operators) tell(f func(j *check.Judge)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o.judge)
}

// watch looks at every node until the context ends.
func (o *operators) watch(ctx context.Context) {
	for _, n := range o.f.Nodes {
		o.wait.Go(func() {
			for ctx.Err() == nil {
				asked := o.now()
				s, err := o.read(n.Name)
				o.tell(func(j *check.Judge) { o.saw(j, n.Name, s, err, asked) })
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
}

// saw tells the judge what a node has in force; one that did not answer in time was
// not there, and is bound again from when it answers.
func (o *operators) saw(j *check.Judge, node string, s sheetNow, err error, asked int64) {
	if err != nil || len(s.Sheet.Services) == 0 {
		if o.up[node] > 0 {
			j.Restarted(node)
		}
		o.up[node] = 0
		return
	}
	if o.up[node] == 0 {
		o.up[node] = o.now()
	}
	stamp, _ := config.ParseVersion(0, s.Stamp)
	j.InForce(node, stamp, s.mark(), asked, o.up[node])
}

// served tells the judge of recovery what callers got, second by second from a moment on.
func (o *operators) served(from int64, seconds map[string]int) {
	for k, n := range seconds {
		var s int64
		fmt.Sscan(strings.TrimLeft(k, "0"), &s)
		for range n {
			o.judge.Served(from + s*1_000_000)
		}
	}
	if o.back.Load() > 0 {
		o.judge.Recovers(o.lost.Load(), o.back.Load())
	}
}
