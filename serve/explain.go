// Explain, from any node: an inquiry's id begins with the name of the node that
// served it, and that node is asked.
package serve

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"

	"wallport/gen/http/operator/client"
	"wallport/gen/operator"
	"wallport/inquiry"
	"wallport/kernel"
	"wallport/members"
	"wallport/sheet"
	"wallport/table"
)

const explainWithin = 2 * time.Second

func (a operatorAPI) Explain(ctx context.Context, p *operator.ExplainPayload) (any, error) {
	if err := a.allowed(p.Token); err != nil {
		return nil, err
	}
	i := strings.LastIndexByte(p.ID, '-')
	if i <= 0 {
		return nil, fail("malformed", "not an inquiry's id: it looks like NODE-NUMBER")
	}
	if name := p.ID[:i]; name != a.f.p.Kernel.Boot.Env.Name {
		return a.elsewhere(ctx, name, p)
	}
	t, ok := a.f.desk.Traces.Get(p.ID)
	if !ok {
		return nil, fail("unknown", "no such inquiry, or it is no longer kept")
	}
	return inquiry.Explain(t, func(c *table.Snapshot) string { return sheet.VersionText(c.Version) }), nil
}

// elsewhere asks the node that the id names.
func (a operatorAPI) elsewhere(ctx context.Context, name string, p *operator.ExplainPayload) (any, error) {
	addr := ""
	a.f.p.Do(func(now int64) {
		for _, r := range kernel.Find[*members.Members](a.f.p.Kernel).Live(now, "node") {
			if r.Name == name {
				addr = r.Operator
			}
		}
	})
	if addr == "" {
		return nil, fail("unknown", "no live node has the name "+name)
	}
	ctx, cancel := context.WithTimeout(ctx, explainWithin)
	defer cancel()
	c := client.NewClient("http", addr, http.DefaultClient, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	v, err := c.Explain()(ctx, p)
	var f *operator.Failure
	if err != nil && !errors.As(err, &f) {
		return nil, fail("unknown", "the node "+name+" did not answer: "+err.Error())
	}
	if b, ok := v.(json.RawMessage); ok {
		v = b
	}
	return v, err
}
