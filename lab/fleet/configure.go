// Configures the stand-in platform and the fleet for a run.

package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"wallport/runtime/wire"
)

// notifyPlatform sends the current backends and nodes to the stand-in platform, and retries until it accepts both.
func (f *Fleet) notifyPlatform(ctx context.Context) error {
	return poll(ctx, "platform", func() error {
		f.mu.Lock()
		servers := append([]wire.Backend(nil), f.backends...)
		f.mu.Unlock()
		if err := f.post(f.Platform+"/lab/servers", wire.BackendList{Backends: servers}); err != nil {
			return err
		}
		return f.post(f.Platform+"/lab/nodes", f.Nodes)
	})
}

// configure writes the first configuration and the first shard map, and waits until every node answers a search.
func (f *Fleet) configure(ctx context.Context) error {
	s := f.options.Shape
	oper := f.OperatorAddrs["node-0"]
	err := poll(ctx, "put first configuration", func() error {
		return f.call(http.MethodPut, "http://"+oper+"/v1/sheet", s.Config(), map[string]string{"If-Match": "0.0", "Edit-Id": "first-sheet"})
	})
	if err != nil {
		return err
	}
	err = poll(ctx, "install first shard map", func() error {
		return f.post("http://"+oper+"/v1/indexes/"+s.Index+"/cut", map[string]any{"cut": "c1", "shards": s.Shards})
	})
	if err != nil {
		return err
	}
	for _, n := range f.Nodes {
		err := poll(ctx, n.Name, func() error {
			return f.call(http.MethodPost, "http://"+n.Caller+"/v1/indexes/"+s.Index+"/search", json.RawMessage(`{"query":"warm-up"}`), nil)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) post(url string, v any) error { return f.call(http.MethodPost, url, v, nil) }

// call sends v as JSON with the operator token and the given headers. A status other than 2xx is an error.
func (f *Fleet) call(method, url string, v any, head map[string]string) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(b))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+f.options.Token)
	for k, v := range head {
		req.Header.Set(k, v)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: %d %s", method, url, resp.StatusCode, body)
	}
	return nil
}

// poll calls try every 50 ms until it succeeds or the context ends; what names the operation in the error.
func poll(ctx context.Context, what string, try func() error) error {
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w (last: %v)", what, ctx.Err(), err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}
