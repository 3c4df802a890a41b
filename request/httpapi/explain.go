// Explain, from any node: an inquiry's id begins with the name of the node that
// served it, and that node is asked. A request on a platform has its client's id,
// which tells of no node: all are asked.

package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	goahttp "goa.design/goa/v3/http"

	"wallport/cluster/membership"
	"wallport/control/config"
	"wallport/gen/http/operator/client"
	"wallport/gen/operator"
	"wallport/request/search"
	"wallport/request/snapshot"
	"wallport/runtime/kernel"
)

const explainTimeout = 2 * time.Second

func (a operatorAPI) Explain(ctx context.Context, p *operator.ExplainPayload) (any, error) {
	if err := a.allowed(p.Token); err != nil {
		return nil, err
	}
	find, name := a.node.platformTrace.Load(), nodeOf(p.ID)
	if find == nil && name == "" {
		return nil, newFailure("malformed", "not an inquiry's id: it looks like NODE-NUMBER")
	}
	if find != nil {
		if t, ok := (*find)(p.ID); ok {
			return t, nil
		}
	}
	if name == a.node.process.Kernel.Boot.Settings.Name {
		t, ok := a.node.dispatcher.Traces.Get(p.ID)
		if !ok {
			return nil, newFailure("unknown", "no such inquiry, or it is no longer kept")
		}
		return search.Explain(t, func(c *snapshot.Snapshot) string { return config.VersionText(c.Version) }), nil
	}
	if addr := a.operatorAddress(name); addr != "" {
		return a.explainOnNode(ctx, name, addr, p)
	}
	if find == nil || p.Here != nil && *p.Here {
		return nil, newFailure("unknown", "no such request here, or it is no longer kept")
	}
	return a.explainOnAllNodes(ctx, p)
}

// nodeOf is the node that an inquiry's id names, NODE-NUMBER; the id of a request on a platform is its client's.
func nodeOf(id string) string { return id[:max(0, strings.LastIndexByte(id, '-'))] }

// operatorAddress is the operator address of a live node; empty without one of that name.
func (a operatorAPI) operatorAddress(name string) string {
	return a.operatorAddresses()[name]
}

// operatorAddresses are the operator addresses of the live nodes, by name.
func (a operatorAPI) operatorAddresses() map[string]string {
	out := map[string]string{}
	a.node.process.Do(func(now int64) {
		for _, r := range kernel.Find[*membership.Members](a.node.process.Kernel).Live(now, "node") {
			out[r.Name] = r.Operator
		}
	})
	return out
}

// maxConcurrentExplains bounds the nodes that one call asks at the same time.
const maxConcurrentExplains = 16

// explainOnAllNodes asks all live nodes, and gives the first trace found.
func (a operatorAPI) explainOnAllNodes(ctx context.Context, p *operator.ExplainPayload) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	here := true
	ask := &operator.ExplainPayload{Token: p.Token, ID: p.ID, Here: &here}
	found := make(chan any, 1)
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentExplains)
	for name, addr := range a.operatorAddresses() {
		if name == a.node.process.Kernel.Boot.Settings.Name {
			continue
		}
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if v, err := a.explainOnNode(ctx, name, addr, ask); err == nil {
				select {
				case found <- v:
					cancel()
				default:
				}
			}
		})
	}
	group.Wait()
	select {
	case v := <-found:
		return v, nil
	default:
		return nil, newFailure("unknown", "no live node keeps a request of this id: it ended well, or too many have since")
	}
}

// explainOnNode asks another node.
func (a operatorAPI) explainOnNode(ctx context.Context, name, addr string, p *operator.ExplainPayload) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	c := client.NewClient("http", addr, http.DefaultClient, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	v, err := c.Explain()(ctx, p)
	var f *operator.Failure
	if err != nil && !errors.As(err, &f) {
		return nil, newFailure("unknown", "the node "+name+" did not answer: "+err.Error())
	}
	if b, ok := v.(json.RawMessage); ok {
		v = b
	}
	return v, err
}
