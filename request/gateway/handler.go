package gateway

import (
	"errors"
	"io"
	"log"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"wallport/request/backend"
	"wallport/request/dispatch"
	"wallport/runtime/clock"
)

// handler handles the requests of clients.
type handler struct {
	server *Server
	names  Names
}

func newHandler(s *Server) handler {
	names := s.config.Names
	for _, name := range []*string{
		&names.ID, &names.Budget, &names.Seal, &names.Target, &names.Load, &names.NotExecuted, &names.ShardSeals, &names.MissingShards, &names.Member,
	} {
		*name = http.CanonicalHeaderKey(*name)
	}
	return handler{server: s, names: names}
}

func (s *Server) errorLog() *log.Logger {
	return zap.NewStdLog(s.config.Log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))
}

// ServeHTTP serves one request.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer h.countPanic()
	h.serve(w, r)
}

// countPanic counts a panic and panics again, so that net/http logs the panic with its stack and closes the
// connection. http.ErrAbortHandler is not counted: the handler panics with it to abort a connection.
func (h *handler) countPanic() {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler {
		h.server.config.Counts.Add("handler_panics", 1)
	}
	panic(v)
}

func (h *handler) serve(w http.ResponseWriter, r *http.Request) {
	s := h.server
	if !r.ProtoAtLeast(1, 1) || len(r.TransferEncoding) > 0 {
		// No further request is read on a connection after a chunked request. If the chunked request also
		// had a Content-Length, the bytes that follow it could belong to its body.
		closeAfterResponse(w)
	}
	if !headerFits(r, s.limits()) {
		h.reject(w, r, http.StatusRequestHeaderFieldsTooLarge, "the head is larger than the limit")
		return
	}
	reservation := bodyReservation{server: s}
	defer reservation.release()
	body, status := h.readBody(w, r, &reservation)
	if status != 0 {
		h.reject(w, r, status, "the body could not be read whole")
		return
	}
	req, invalid := h.newRequest(r, body)
	if invalid != "" {
		h.reject(w, r, http.StatusBadRequest, invalid)
		return
	}
	s.read.Add(1)
	outcome := h.handle(r, req)
	h.extendWriteDeadline(w, req.ReadAt)
	if outcome.Status == 0 {
		panic(http.ErrAbortHandler)
	}
	h.writeOutcome(w, r, &outcome)
}

// extendWriteDeadline restarts the write time-out if the request took more than half of it, because net/http
// counts the time-out from the reading of the request's header.
func (h *handler) extendWriteDeadline(w http.ResponseWriter, readAt clock.Micros) {
	timeout := h.server.config.WriteTimeout
	if took := clock.Duration(h.server.config.Now() - readAt); took > timeout/2 {
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
	}
}

// handle returns the outcome of a request. If the outcome has no status, no response is sent.
func (h *handler) handle(r *http.Request, req dispatch.Request) dispatch.Outcome {
	s := h.server
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.config.AwaitThaw()
	if view := s.config.Snapshot(); view == nil || view.Routing == nil {
		return dispatch.Outcome{Status: http.StatusServiceUnavailable, Code: dispatch.CodeRejected, Reason: "no routing table yet", RetryAfter: retryAfter}
	}
	return s.drive(r.Context(), req)
}

// reject responds to a request that is invalid or cannot be read, and closes the connection.
func (h *handler) reject(w http.ResponseWriter, r *http.Request, status int, reason string) {
	h.server.rejected.Add(1)
	h.server.config.Sampled.Warn("request_invalid", zap.String("from", r.RemoteAddr), zap.Strings("id", r.Header[h.names.ID]), zap.String("method", r.Method),
		zap.String("path", r.URL.Path), zap.Int("status", status), zap.String("reason", reason))
	closeAfterResponse(w)
	o := dispatch.Outcome{Status: status, Code: codeInvalid, Reason: reason}
	if status == http.StatusServiceUnavailable {
		o.Code, o.RetryAfter = dispatch.CodeRejected, retryAfter
	}
	writeOwnResponse(w, &o)
}

// closeAfterResponse makes net/http close the connection after this response.
func closeAfterResponse(w http.ResponseWriter) { w.Header()["Connection"] = []string{"close"} }

// readBody reads the complete body. On failure it returns the status of the error response.
func (h *handler) readBody(w http.ResponseWriter, r *http.Request, reservation *bodyReservation) (b []byte, status int) {
	if r.Body == http.NoBody {
		return nil, 0
	}
	limits := h.server.limits()
	controller := http.NewResponseController(w)
	controller.SetReadDeadline(time.Now().Add(headTimeout(limits) + h.server.bodyTimeout))
	maxBytes := maxBodyBytes(limits)
	var err error
	switch n := r.ContentLength; {
	case n > maxBytes:
		return nil, http.StatusRequestEntityTooLarge
	case n < 0:
		reservation.reader = http.MaxBytesReader(w, r.Body, maxBytes)
		b, err = io.ReadAll(reservation)
	case !reservation.reserve(n):
		return nil, http.StatusServiceUnavailable
	default:
		b = make([]byte, n)
		_, err = io.ReadFull(r.Body, b)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		controller.SetReadDeadline(time.Time{})
		return b, 0
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, errBodyBudget):
		return nil, http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	}
	return nil, http.StatusBadRequest
}

// newRequest returns the request for the state machine, or why the client's request is invalid.
func (h *handler) newRequest(r *http.Request, body []byte) (dispatch.Request, string) {
	ids := r.Header[h.names.ID]
	if len(ids) != 1 || ids[0] == "" {
		return dispatch.Request{}, "one " + h.names.ID + " is needed"
	}
	target := originForm(r.RequestURI)
	if target == "" {
		return dispatch.Request{}, "the target has no path"
	}
	path, _, _ := strings.Cut(target, "?")
	req := dispatch.Request{
		ID: ids[0], Method: r.Method, Target: target, Path: path, Host: r.Host, Body: body, ReadAt: h.server.config.Now(),
	}
	if v := r.Header[h.names.Budget]; len(v) == 1 {
		if ms, err := strconv.ParseUint(v[0], 10, 40); err == nil {
			req.Timeout = clock.Micros(ms) * clock.Millisecond
		}
	}
	req.Header = h.forwardedFields(r.Header)
	return req, ""
}

// originForm returns the path and query of a request target (RFC 9112, section 3.2), or an empty string if it has no path.
func originForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, absolute := strings.Cut(target, "://")
	path := strings.IndexByte(rest, '/')
	if !absolute || path <= 0 {
		return ""
	}
	return rest[path:]
}

// forwardedFields returns the header lines that are forwarded to a backend. It removes all other fields from header.
func (h *handler) forwardedFields(header http.Header) []byte {
	backend.RemoveHopByHop(header, h.names.ID)
	for _, name := range [...]string{h.names.Budget, h.names.Target, "Content-Length", "Expect"} {
		delete(header, name)
	}
	lines := make([]byte, 0, 512)
	for name, values := range header {
		for _, value := range values {
			lines = append(append(append(append(lines, name...), ": "...), value...), "\r\n"...)
		}
	}
	return lines
}
