// Small HTTP GETs that plug-ins ask for.
package process

import (
	"context"
	"io"
	"net/http"
	"time"

	"wallport/kernel"
)

func (p *Process) fetch(f kernel.Fetch) {
	res := kernel.Fetched{Plugin: f.Plugin, Key: f.Key}
	select {
	case p.fetching <- struct{}{}:
	default:
		res.Err = "too many fetches under way"
		go p.Post(res)
		return
	}
	go func() {
		defer func() { <-p.fetching }()
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(f.Timeout)*time.Microsecond)
		defer cancel()
		res.Status, res.Body, res.Err = p.get(ctx, f.URL)
		p.Post(res)
	}()
}

func (p *Process) get(ctx context.Context, url string) (int, []byte, string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err.Error()
	}
	resp, err := p.fetcher.Do(req)
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
