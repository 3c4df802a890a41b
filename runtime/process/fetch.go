package process

import (
	"context"
	"io"
	"net/http"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

// maxFetchBytes bounds the bytes that are read of a response body.
const maxFetchBytes = 1 << 20

// Fetcher fetches a URL. It returns the HTTP status and a body in the product's own format, or the text of an error.
type Fetcher func(ctx context.Context, url string) (status int, body []byte, err string)

// fetch performs a fetch in a goroutine of its own and posts the result. If maxFetches are in flight, the fetch fails.
func (p *Process) fetch(f kernel.Fetch) {
	res := kernel.Fetched{Plugin: f.Plugin, Key: f.Key}
	select {
	case p.fetchSlots <- struct{}{}:
	default:
		res.Err = "too many fetches in flight"
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

// get is the Fetcher for plug-ins that have none in Config.Fetchers: a plain GET.
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
