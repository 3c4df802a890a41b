// Starting the processes of a run, and measuring their memory.

package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"wallport/lab/fleet"
	"wallport/runtime/wire"
)

// maxStarts is the number of attempts to start a real process, each with new ports.
const maxStarts = 5

func (f *run) add(c *child, piped bool) error {
	if err := c.start(f.dir, piped); err != nil {
		return err
	}
	f.register(c)
	return nil
}

// register adds a child to the run, which samples it and kills it at the end.
func (f *run) register(c *child) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.children = append(f.children, c)
}

// startStandIns starts the hollow backends and a platform that lists them.
func (f *run) startStandIns(ctx context.Context) error {
	f.shards = max(4, min(140, f.m.Servers/4))
	f.m.Servers -= f.m.Servers % f.shards
	lab := filepath.Join(f.o.Bin, "lab")
	b := &child{name: "backends", args: []string{
		lab, "hollow", "--backends", "--count", fmt.Sprint(f.m.Servers), "--shards", fmt.Sprint(f.shards), "--ip", f.net,
	}}
	if err := f.add(b, true); err != nil {
		return err
	}
	var list []wire.Backend
	if err := b.read(ctx, &list); err != nil {
		return err
	}
	addr, err := freeAddr(f.net)
	if err != nil {
		return err
	}
	f.platform = "http://" + addr
	if err := f.add(&child{name: "platform", args: []string{lab, "platform", "--addr", addr}}, false); err != nil {
		return err
	}
	return f.retryUntilDone(ctx, "platform", func() error { return f.post(ctx, f.platform+"/lab/servers", wire.BackendList{Backends: list}) })
}

// startReal starts a process of the product on free ports. If it does not come up, for instance because another process
// took a port, it retries with new ports.
func (f *run) startReal(ctx context.Context, role string, i int, seeds []string) (*child, error) {
	for try := range maxStarts {
		c := &child{class: role, name: fmt.Sprintf("%s-%d", role, i), count: 1}
		var addrs [3]string
		for j := range addrs {
			var err error
			if addrs[j], err = freeAddr(f.net); err != nil {
				return nil, err
			}
		}
		c.mesh, c.operator = addrs[0], addrs[1]
		c.args = []string{
			filepath.Join(f.o.Bin, "wallport"), role, "--name", c.name, "--zone", fmt.Sprintf("z%d", i%4+1), "--mesh", c.mesh,
			"--operator", c.operator, "--fleet-secret", "scale",
		}
		for _, s := range seeds {
			c.args = append(c.args, "--seed", s)
		}
		if role == "core" {
			c.args = append(c.args, "--data", filepath.Join(f.dir, c.name))
		} else {
			c.args = append(c.args, "--caller", addrs[2], "--platform", f.platform+"/list")
		}
		if err := c.start(f.dir, false); err != nil {
			return nil, err
		}
		if f.waitForMetrics(ctx, c) {
			f.register(c)
			return c, nil
		}
		c.kill()
		f.logf("%s did not come up, attempt %d", c.name, try+1)
	}
	return nil, fmt.Errorf("%s-%d did not serve its metrics after any start", role, i)
}

// waitForMetrics waits until a process serves its metrics. It returns false if the process or the context has ended.
func (f *run) waitForMetrics(ctx context.Context, c *child) bool {
	for ctx.Err() == nil {
		if _, err := metrics(ctx, f.client, c.operator); err == nil {
			return true
		}
		select {
		case <-c.done:
			return false
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
	return false
}

// startHollowNodes starts all hosts of hollow nodes concurrently and waits until they report their endpoints.
func (f *run) startHollowNodes(ctx context.Context, count int, seeds []string) error {
	for first := 0; first < count; first += f.o.PerHost {
		n := min(f.o.PerHost, count-first)
		c := &child{class: "hollow", name: fmt.Sprintf("hollow-%d", first), count: n, args: []string{
			filepath.Join(f.o.Bin, "lab"), "hollow", "--count", fmt.Sprint(n), "--first", fmt.Sprint(f.m.Real + first),
			"--ip", f.net, "--platform", f.platform + "/list",
		}}
		for _, s := range seeds {
			c.args = append(c.args, "--seed", s)
		}
		if err := f.add(c, true); err != nil {
			return err
		}
		f.hosts = append(f.hosts, c)
	}
	f.m.Hosts = len(f.hosts)
	return forEach(f.hosts, func(c *child) error {
		var t HostResponse
		return c.read(ctx, &t)
	})
}

// newConfig returns a configuration that differs from all earlier ones of the run in its ramp_us.
func (f *run) newConfig() json.RawMessage {
	s := fleet.Shapes["trust"]
	s.Index, s.Shards = Index, f.shards
	f.rampUs++
	return bytes.ReplaceAll(s.Config(), []byte(`"ramp_us":3000000`), fmt.Appendf(nil, `"ramp_us":%d`, f.rampUs))
}

// edit submits an operator's edit through the first host of hollow nodes.
func (f *run) edit(ctx context.Context, a HostRequest) (EditResult, error) {
	t, err := f.hosts[0].ask(ctx, a)
	if err != nil {
		return EditResult{}, err
	}
	if t.Edited == nil || t.Edited.Code != "ok" {
		return EditResult{}, fmt.Errorf("%s was not accepted: %+v", a.Op, t.Edited)
	}
	return *t.Edited, nil
}

// retryUntilDone calls try every 100 ms until it succeeds or the context ends.
func (f *run) retryUntilDone(ctx context.Context, what string, try func() error) error {
	for {
		err := try()
		if err == nil {
			return nil
		}
		if sleep(ctx, 100*time.Millisecond) != nil {
			return fmt.Errorf("%s: %w (last: %v)", what, context.Cause(ctx), err)
		}
	}
}

func (f *run) post(ctx context.Context, url string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("POST %s: got status %d", url, resp.StatusCode)
	}
	return nil
}

// residentMemory returns the resident memory of all processes of the run, in bytes, and records the maximum.
func (f *run) residentMemory() (sum int64) {
	f.mu.Lock()
	all := append([]*child(nil), f.children...)
	f.mu.Unlock()
	for _, c := range all {
		if u, err := ReadUsage(c.cmd.Process.Pid); err == nil {
			sum += u.RSS
		}
	}
	f.memory.Store(max(f.memory.Load(), sum))
	return sum
}
