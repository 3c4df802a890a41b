package process

import (
	"context"
	"io"
	"net/http"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

// maxFetchBytes bounds what is read of a body.
const maxFetchBytes = 1 << 20

// Fetcher fetches a URL and returns the HTTP status and a body in the product's own format, or the error's text.
type Fetcher func(ctx context.Context, url string) (status int, body []byte, err string)

// fetch carries out a fetch in a goroutine of its own and posts the result.
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
		ctx, cancel := context.WithTimeout(context.Background(), clock.Duration(f.Timeout))
		defer cancel()
		get := p.fetchers[f.Plugin]
		if get == nil {
			get = p.get
		}
		res.Status, res.Body, res.Err = get(ctx, f.URL)
		p.Post(res)
	}()
}

// get is the Fetcher of plug-ins without one of their own: a plain GET.
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxFetchBytes))
	if err != nil {
		return 0, nil, err.Error()
	}
	return resp.StatusCode, body, ""
}
