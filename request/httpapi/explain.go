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
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
)

const (
	// explainTimeout bounds the lookup of a trace on other nodes.
	explainTimeout = 2 * time.Second
	// maxConcurrentExplains is the maximum number of nodes that one call asks at the same time.
	maxConcurrentExplains = 16
)

// Explain returns the trace of a request, which may be stored on another node. The id of a request of the caller API
// begins with the name of the node that served it. The id of a request on a platform is assigned by its client and names
// no node, so all nodes are asked.
func (a operatorAPI) Explain(ctx context.Context, p *operator.ExplainPayload) (any, error) {
	if err := a.allowed(p.Token); err != nil {
		return nil, err
	}
	find, name := a.node.platformTrace.Load(), nodeOf(p.ID)
	if find == nil && name == "" {
		return nil, newFailure(FailureMalformed, "not an inquiry's id: it looks like NODE-NUMBER")
	}
	if find != nil {
		if trace, ok := (*find)(p.ID); ok {
			return trace, nil
		}
	}
	if name == a.node.process.Kernel.Boot.Settings.Name {
		trace, ok := a.node.dispatcher.Traces.Get(p.ID)
		if !ok {
			return nil, newFailure(FailureUnknown, "no such inquiry, or it is no longer kept")
		}
		return search.Explain(trace, func(c *snapshot.Snapshot) string { return config.VersionText(c.Version) }), nil
	}
	if addr := a.operatorAddress(name); addr != "" {
		return a.explainOnNode(ctx, name, addr, p)
	}
	if find == nil || p.Here != nil && *p.Here {
		return nil, newFailure(FailureUnknown, "no such request here, or it is no longer kept")
	}
	return a.explainOnAllNodes(ctx, p)
}

// nodeOf returns the name of the node in the id of a request of the caller API: the part before the last hyphen.
func nodeOf(id string) string { return id[:max(0, strings.LastIndexByte(id, '-'))] }

// operatorAddress returns the operator address of a live node, or an empty string if no live node has that name.
func (a operatorAPI) operatorAddress(name string) string {
	return a.operatorAddresses()[name]
}

// operatorAddresses returns the operator addresses of the live nodes, by name.
func (a operatorAPI) operatorAddresses() map[string]string {
	addresses := map[string]string{}
	a.node.process.Do(func(now clock.Micros) {
		for _, node := range kernel.Find[*membership.Members](a.node.process.Kernel).Live(now, settings.RoleNode) {
			addresses[node.Name] = node.Operator
		}
	})
	return addresses
}

// explainOnAllNodes asks all other live nodes and returns the first trace found.
func (a operatorAPI) explainOnAllNodes(ctx context.Context, p *operator.ExplainPayload) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	thisNodeOnly := true
	request := &operator.ExplainPayload{Token: p.Token, ID: p.ID, Here: &thisNodeOnly}
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
			if v, err := a.explainOnNode(ctx, name, addr, request); err == nil {
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
		return nil, newFailure(FailureUnknown, "no live node keeps a request of this id: it ended well, or too many have since")
	}
}

// explainOnNode requests the trace from another node.
func (a operatorAPI) explainOnNode(ctx context.Context, name, addr string, p *operator.ExplainPayload) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	c := client.NewClient("http", addr, http.DefaultClient, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	v, err := c.Explain()(ctx, p)
	var failure *operator.Failure
	if err != nil && !errors.As(err, &failure) {
		return nil, newFailure(FailureUnknown, "the node "+name+" did not answer: "+err.Error())
	}
	if b, ok := v.(json.RawMessage); ok {
		v = b
	}
	return v, err
}
