// Answers as they are written: a backend's unchanged, a gathered one, or the
// node's own.

package gateway

import (
	"maps"
	"net/http"
	"strconv"
	"strings"

	"wallport/request/dispatch"
)

// writeOutcome writes what a request came to.
func (h *handler) writeOutcome(w http.ResponseWriter, r *http.Request, o *dispatch.Outcome) {
	head := w.Header()
	// Whoever reads the flag first has it: an answer that is to be the last one says so.
	if h.server.draining.Load() {
		closeAfterResponse(w)
	}
	switch {
	case o.Response != nil:
		maps.Copy(head, o.Response.Header)
		writeResponse(w, r, o.Response.Status, o.Response.Body)
	case len(o.Seals) > 0:
		head[h.names.Parts] = []string{strings.Join(o.Seals, ", ")}
		if o.Missing > 0 {
			head[h.names.Missing] = []string{strconv.Itoa(o.Missing)}
		}
		writeResponse(w, r, o.Status, o.Body)
	default:
		writeOwnResponse(w, o)
	}
}

func writeResponse(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	head := w.Header()
	if _, there := head["Content-Type"]; !there {
		// None is guessed.
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

// writeOwnResponse writes an answer of the node itself.
func writeOwnResponse(w http.ResponseWriter, o *dispatch.Outcome) {
	b := strconv.AppendQuoteToASCII([]byte(`{"code":`), string(o.Code))
	b = append(strconv.AppendQuoteToASCII(append(b, `,"why":`...), o.Reason), "}\n"...)
	head := w.Header()
	head["Content-Type"] = []string{"application/json"}
	head["Content-Length"] = []string{strconv.Itoa(len(b))}
	if o.RetryAfter > 0 {
		head["Retry-After"] = []string{strconv.FormatFloat(float64(o.RetryAfter)/1e6, 'f', 3, 64)}
	}
	w.WriteHeader(o.Status)
	w.Write(b)
}
