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

// plain is the shape of every fault on the wire.
type plain struct {
	status   int
	Name     string  `json:"name"`
	Message  string  `json:"message"`
	Ran      string  `json:"ran"`
	Inquiry  *string `json:"inquiry,omitempty"`
	Retry    *int    `json:"retry_after,omitempty"`
	Findings any     `json:"findings,omitempty"`
	Stamp    *string `json:"stamp,omitempty"`
}

// StatusCode is the fault's status.
func (p plain) StatusCode() int { return p.status }

type place struct {
	Place string `json:"place"`
	Text  string `json:"text"`
}

// tokenFaults is the error of a file of tokens, a line each.
func tokenFaults(file string, found []wire.Finding) error {
	var lines []string
	for _, f := range found {
		lines = append(lines, file+": "+f.Path+": "+f.Text)
	}
	return errors.New(strings.Join(lines, "\n"))
}

// onceEach refuses what gives a name twice, before a decoder keeps one of the two.
func onceEach(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		found := config.DuplicateNames(body)
		if err != nil || len(found) == 0 {
			next.ServeHTTP(w, r)
			return
		}
		p := plain{Name: "malformed", Message: "nothing was changed", Ran: "no", Findings: placed(found)}
		w.Header().Set(contentTypeH, jsonContent)
		w.WriteHeader(http.StatusBadRequest)
		json.NewEncoder(w).Encode(p)
	})
}

func placed(found []wire.Finding) []place {
	list := make([]place, 0, len(found))
	for _, f := range found {
		list = append(list, place{f.Path, f.Text})
	}
	return list
}

// shaped gives goa's own faults and ours the same shape.
func shaped(_ context.Context, err error) goahttp.Statuser {
	var e *goa.ServiceError
	var c *caller.Failure
	var o *operator.Failure
	switch {
	case errors.As(err, &c):
		return plain{Name: c.Name, Message: c.Message, Ran: c.Ran, Inquiry: c.Inquiry, Retry: c.RetryAfter}
	case errors.As(err, &o):
		p := plain{Name: o.Name, Message: o.Message, Ran: o.Ran, Retry: o.RetryAfter, Stamp: o.Stamp}
		if len(o.Findings) > 0 {
			list := make([]place, 0, len(o.Findings))
			for _, f := range o.Findings {
				list = append(list, place{f.Place, f.Text})
			}
			p.Findings = list
		}
		return p
	case errors.As(err, &e) && !e.Fault:
		return plain{status: 400, Name: "malformed", Message: e.Message, Ran: "no"}
	}
	return plain{status: 500, Name: "internal", Message: "internal fault", Ran: "unknown"}
}
