package gateway

import (
	"maps"
	"net/http"
	"strconv"
	"strings"

	"wallport/request/dispatch"
	"wallport/runtime/clock"
)

// writeOutcome writes the response of a request: a backend's own, a merged one, or the node's own.
func (h *handler) writeOutcome(w http.ResponseWriter, r *http.Request, o *dispatch.Outcome) {
	head := w.Header()
	// Once the shutdown has begun, a response is the last one on its connection.
	if h.server.draining.Load() {
		closeAfterResponse(w)
	}
	switch {
	case o.Response != nil:
		maps.Copy(head, o.Response.Header)
		writeResponse(w, r, o.Response.Status, o.Response.Body)
	case len(o.Seals) > 0:
		head[h.names.ShardSeals] = []string{strings.Join(o.Seals, ", ")}
		if o.Missing > 0 {
			head[h.names.MissingShards] = []string{strconv.Itoa(o.Missing)}
		}
		writeResponse(w, r, o.Status, o.Body)
	default:
		writeOwnResponse(w, o)
	}
}

// writeResponse writes a response whose header fields are set.
func writeResponse(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	head := w.Header()
	if _, set := head["Content-Type"]; !set {
		// Without the field net/http would guess a type.
		head["Content-Type"] = nil
	}
	if status != http.StatusNoContent && status != http.StatusNotModified && r.Method != http.MethodHead {
		head["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	w.WriteHeader(status)
	if len(body) > 0 {
		w.Write(body)
	}
}

// writeOwnResponse writes a response of the node itself: a JSON object with a code and a reason.
func writeOwnResponse(w http.ResponseWriter, o *dispatch.Outcome) {
	b := strconv.AppendQuoteToASCII([]byte(`{"code":`), string(o.Code))
	b = append(strconv.AppendQuoteToASCII(append(b, `,"why":`...), o.Reason), "}\n"...)
	head := w.Header()
	head["Content-Type"] = []string{"application/json"}
	head["Content-Length"] = []string{strconv.Itoa(len(b))}
	if o.RetryAfter > 0 {
		head["Retry-After"] = []string{strconv.FormatFloat(float64(o.RetryAfter)/float64(clock.Second), 'f', 3, 64)}
	}
	w.WriteHeader(o.Status)
	w.Write(b)
}
