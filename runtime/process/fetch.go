// Small HTTP GETs that plug-ins ask for.

package process

import (
	"context"
	"io"
	"net/http"
	"time"

	"wallport/runtime/kernel"
)

// Fetcher gets what a URL names: a status, a body in the product's own format, or what went wrong.
type Fetcher func(ctx context.Context, url string) (status int, body []byte, err string)

func (p *Process) fetch(f kernel.Fetch) {
	res := kernel.Fetched{Plugin: f.Plugin, Key: f.Key}
	select {
	case p.fetchSlots <- struct{}{}:
	default:
		res.Err = "too many fetches under way"
		go p.Post(res)
		return
	}
	go func() {
		defer func() { <-p.fetchSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(f.Timeout)*time.Microsecond)
		defer cancel()
		get := p.get
		if own := p.fetchers[f.Plugin]; own != nil {
			get = own
		}
		res.Status, res.Body, res.Err = get(ctx, f.URL)
		p.Post(res)
	}()
}

func (p *Process) get(ctx context.Context, url string) (int, []byte, string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err.Error()
	}
	resp, err := p.httpClient.Do(req)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return 0, nil, err.Error()
	}
	return resp.StatusCode, body, ""
}
