// The handler of clients' requests: each is read whole, within the limits, and
// goes on unchanged but for what concerns one connection only. What net/http
// takes and could be read in two ways ends the connection.

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
)

type handler struct {
	server *Server
	names  Names
}

func newHandler(s *Server) handler {
	n := s.config.Names
	for _, v := range []*string{&n.ID, &n.Budget, &n.Seal, &n.Target, &n.Load, &n.NotRun, &n.Parts, &n.Missing, &n.Member} {
		*v = http.CanonicalHeaderKey(*v)
	}
	return handler{server: s, names: n}
}

func (s *Server) errorLog() *log.Logger {
	return zap.NewStdLog(s.config.Log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))
}

// ServeHTTP serves one request.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer h.countPanic()
	h.serve(w, r)
}

// countPanic counts a panic that is none of the handler's own ends of a connection. net/http logs it
// with its stack and ends the connection.
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
		// After a request in chunks no other is read on the connection: had it carried a length as
		// well, what follows could be a part of it.
		closeAfterResponse(w)
	}
	if !headerFits(r, s.limits()) {
		h.reject(w, r, http.StatusRequestHeaderFieldsTooLarge, "the head is larger than the limit")
		return
	}
	held := bodyReservation{server: s}
	defer held.release()
	body, status := h.readBody(w, r, &held)
	if status != 0 {
		h.reject(w, r, status, "the body could not be read whole")
		return
	}
	req, why := h.newRequest(r, body)
	if why != "" {
		h.reject(w, r, http.StatusBadRequest, why)
		return
	}
	s.read.Add(1)
	o := h.handle(r, req)
	h.extendWriteDeadline(w, req.ReadAt)
	if o.Status == 0 {
		panic(http.ErrAbortHandler)
	}
	h.writeOutcome(w, r, &o)
}

// extendWriteDeadline has the time in which a client may take its answer begin now, where the request has taken a
// good part of it: net/http counts it from the request's head.
func (h *handler) extendWriteDeadline(w http.ResponseWriter, readUs int64) {
	within := h.server.config.WriteTimeout
	if took := time.Duration(h.server.config.Now()-readUs) * time.Microsecond; took > within/2 {
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(within))
	}
}

// handle takes a request that was read whole to its outcome.
func (h *handler) handle(r *http.Request, req dispatch.Request) dispatch.Outcome {
	s := h.server
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.config.AwaitThaw()
	if c := s.config.Snapshot(); c == nil || c.Routing == nil {
		return dispatch.Outcome{Status: http.StatusServiceUnavailable, Code: "refused", Reason: "no routing table yet", RetryAfter: retryAfter}
	}
	return s.drive(r.Context(), req)
}

// reject answers what is not taken and ends the connection.
func (h *handler) reject(w http.ResponseWriter, r *http.Request, status int, why string) {
	h.server.refused.Add(1)
	h.server.config.Sampled.Warn("request_invalid", zap.String("from", r.RemoteAddr), zap.Strings("id", r.Header[h.names.ID]), zap.String("method", r.Method),
		zap.String("path", r.URL.Path), zap.Int("status", status), zap.String("why", why))
	closeAfterResponse(w)
	o := dispatch.Outcome{Status: status, Code: "invalid", Reason: why}
	if status == http.StatusServiceUnavailable {
		o.Code, o.RetryAfter = "refused", retryAfter
	}
	writeOwnResponse(w, &o)
}

// closeAfterResponse says that the connection ends with this answer.
func closeAfterResponse(w http.ResponseWriter) { w.Header()["Connection"] = []string{"close"} }

// errBodyBudget is that the bodies of all requests hold too much together.
var errBodyBudget = errors.New("too many bodies at once")

// readBody reads the whole body; a status above 0 says why it could not.
func (h *handler) readBody(w http.ResponseWriter, r *http.Request, held *bodyReservation) (b []byte, status int) {
	if r.Body == http.NoBody {
		return nil, 0
	}
	m := h.server.limits()
	c := http.NewResponseController(w)
	c.SetReadDeadline(time.Now().Add(headTimeout(m) + h.server.bodyTimeout))
	most := maxBodyBytes(m)
	var err error
	switch n := r.ContentLength; {
	case n > most:
		return nil, http.StatusRequestEntityTooLarge
	case n < 0:
		held.reader = http.MaxBytesReader(w, r.Body, most)
		b, err = io.ReadAll(held)
	case !held.reserve(n):
		return nil, http.StatusServiceUnavailable
	default:
		b = make([]byte, n)
		_, err = io.ReadFull(r.Body, b)
	}
	var big *http.MaxBytesError
	switch {
	case err == nil:
		c.SetReadDeadline(time.Time{})
		return b, 0
	case errors.As(err, &big):
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, errBodyBudget):
		return nil, http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	}
	return nil, http.StatusBadRequest
}

// newRequest is what goes on to a backend.
func (h *handler) newRequest(r *http.Request, body []byte) (dispatch.Request, string) {
	ids := r.Header[h.names.ID]
	if len(ids) != 1 || ids[0] == "" {
		return dispatch.Request{}, "one " + h.names.ID + " is needed"
	}
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		_, rest, ok := strings.Cut(target, "://")
		i := strings.IndexByte(rest, '/')
		if !ok || i <= 0 {
			return dispatch.Request{}, "the target has no path"
		}
		target = rest[i:]
	}
	path, _, _ := strings.Cut(target, "?")
	req := dispatch.Request{ID: ids[0], Method: r.Method, Target: target, Path: path, Host: r.Host, Body: body, ReadAt: h.server.config.Now()}
	if v := r.Header[h.names.Budget]; len(v) == 1 {
		if ms, err := strconv.ParseUint(v[0], 10, 40); err == nil {
			req.Timeout = int64(ms) * 1000
		}
	}
	req.Header = h.forwardedFields(r.Header)
	return req, ""
}

// forwardedFields is the header lines that go on to a backend; the header is changed.
func (h *handler) forwardedFields(head http.Header) []byte {
	backend.RemoveHopByHop(head, h.names.ID)
	for _, name := range [...]string{h.names.Budget, h.names.Target, "Content-Length", "Expect"} {
		delete(head, name)
	}
	b := make([]byte, 0, 512)
	for name, vs := range head {
		for _, v := range vs {
			b = append(append(append(append(b, name...), ": "...), v...), "\r\n"...)
		}
	}
	return b
}
