// The one shape that every fault has on the wire, whoever found it.

package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"wallport/control/config"
	"wallport/gen/caller"
	"wallport/gen/operator"
	"wallport/runtime/wire"
)

// errorBody is the shape of every fault on the wire.
type errorBody struct {
	status    int
	Name      string  `json:"name"`
	Message   string  `json:"message"`
	Ran       string  `json:"ran"`
	RequestID *string `json:"inquiry,omitempty"`
	Retry     *int    `json:"retry_after,omitempty"`
	Findings  any     `json:"findings,omitempty"`
	Version   *string `json:"stamp,omitempty"`
}

// StatusCode is the fault's status.
func (p errorBody) StatusCode() int { return p.status }

type findingBody struct {
	Path string `json:"place"`
	Text string `json:"text"`
}

// tokenFaults is the error of a file of tokens, a line each.
func tokenFaults(file string, found []wire.Finding) error {
	var lines []string
	for _, f := range found {
		lines = append(lines, file+": "+f.Path+": "+f.Text)
	}
	return errors.New(strings.Join(lines, "\n"))
}

// refuseDuplicateKeys refuses what gives a name twice, before a decoder keeps one of the two.
func refuseDuplicateKeys(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		found := config.DuplicateNames(body)
		if err != nil || len(found) == 0 {
			next.ServeHTTP(w, r)
			return
		}
		p := errorBody{Name: "malformed", Message: "nothing was changed", Ran: "no", Findings: findingBodies(found)}
		w.Header().Set(contentTypeHeader, jsonContent)
		w.WriteHeader(http.StatusBadRequest)
		json.NewEncoder(w).Encode(p)
	})
}

func findingBodies(found []wire.Finding) []findingBody {
	list := make([]findingBody, 0, len(found))
	for _, f := range found {
		list = append(list, findingBody{f.Path, f.Text})
	}
	return list
}

// formatError gives goa's own faults and ours the same shape.
func formatError(_ context.Context, err error) goahttp.Statuser {
	var e *goa.ServiceError
	var c *caller.Failure
	var o *operator.Failure
	switch {
	case errors.As(err, &c):
		return errorBody{Name: c.Name, Message: c.Message, Ran: c.Ran, RequestID: c.Inquiry, Retry: c.RetryAfter}
	case errors.As(err, &o):
		p := errorBody{Name: o.Name, Message: o.Message, Ran: o.Ran, Retry: o.RetryAfter, Version: o.Stamp}
		if len(o.Findings) > 0 {
			list := make([]findingBody, 0, len(o.Findings))
			for _, f := range o.Findings {
				list = append(list, findingBody{f.Place, f.Text})
			}
			p.Findings = list
		}
		return p
	case errors.As(err, &e) && !e.Fault:
		return errorBody{status: 400, Name: "malformed", Message: e.Message, Ran: "no"}
	}
	return errorBody{status: 500, Name: "internal", Message: "internal fault", Ran: "unknown"}
}
