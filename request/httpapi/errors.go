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
	"wallport/request/search"
	"wallport/runtime/wire"
)

// The names of the operator API's failures. Both APIs also use some of them for requests that do not reach a service.
const (
	FailureMalformed      = "malformed"
	FailureConflict       = "conflict"
	FailureLostRace       = "lost_race"
	FailureOverloaded     = "shed"
	FailureOutcomeUnknown = "outcome_unknown"
	FailureUnknown        = "unknown"
	FailureForbidden      = "forbidden"
	FailureOutOfScope     = "out_of_scope"
	failureOversize       = "oversize"
	failureInternal       = "internal"
)

// The values of the field of a failure that states whether the request may have run.
const (
	ranNo      = string(search.ExecutionNone)
	ranUnknown = string(search.ExecutionUnknown)
)

// errorBody is the JSON form of all failures, regardless of the layer that detected them.
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

// StatusCode returns the HTTP status of the failure.
func (b errorBody) StatusCode() int { return b.status }

// findingBody is the JSON form of a finding.
type findingBody struct {
	Path string `json:"place"`
	Text string `json:"text"`
}

// tokenFaults returns the error for an invalid tokens file, with one line per finding.
func tokenFaults(file string, found []wire.Finding) error {
	var lines []string
	for _, f := range found {
		lines = append(lines, file+": "+f.Path+": "+f.Text)
	}
	return errors.New(strings.Join(lines, "\n"))
}

// refuseDuplicateKeys rejects a JSON body in which an object has duplicate names. A decoder would silently keep only one
// of the duplicates.
func refuseDuplicateKeys(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		found := config.DuplicateNames(body)
		if err != nil || len(found) == 0 {
			next.ServeHTTP(w, r)
			return
		}
		refusal := errorBody{Name: FailureMalformed, Message: "nothing was changed", Ran: ranNo, Findings: findingBodies(found)}
		w.Header().Set(contentTypeHeader, jsonContent)
		w.WriteHeader(http.StatusBadRequest)
		json.NewEncoder(w).Encode(refusal)
	})
}

func findingBodies(found []wire.Finding) []findingBody {
	list := make([]findingBody, 0, len(found))
	for _, f := range found {
		list = append(list, findingBody{f.Path, f.Text})
	}
	return list
}

// formatError converts goa's own errors and those of the services to the same JSON form.
func formatError(_ context.Context, err error) goahttp.Statuser {
	var goaErr *goa.ServiceError
	var callerErr *caller.Failure
	var operatorErr *operator.Failure
	switch {
	case errors.As(err, &callerErr):
		return errorBody{
			Name: callerErr.Name, Message: callerErr.Message, Ran: callerErr.Ran, RequestID: callerErr.Inquiry, Retry: callerErr.RetryAfter,
		}
	case errors.As(err, &operatorErr):
		return operatorErrorBody(operatorErr)
	case errors.As(err, &goaErr) && !goaErr.Fault:
		return errorBody{status: http.StatusBadRequest, Name: FailureMalformed, Message: goaErr.Message, Ran: ranNo}
	}
	return errorBody{status: http.StatusInternalServerError, Name: failureInternal, Message: "internal fault", Ran: ranUnknown}
}

func operatorErrorBody(failure *operator.Failure) errorBody {
	body := errorBody{Name: failure.Name, Message: failure.Message, Ran: failure.Ran, Retry: failure.RetryAfter, Version: failure.Stamp}
	if len(failure.Findings) > 0 {
		findings := make([]findingBody, 0, len(failure.Findings))
		for _, finding := range failure.Findings {
			findings = append(findings, findingBody{finding.Place, finding.Text})
		}
		body.Findings = findings
	}
	return body
}
