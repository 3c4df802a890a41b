// What became of an exchange, in the words of the chart.

package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"wallport/request/dispatch"
)

// classify classes a whole answer; keep is that its connection may be used again.
func (x *Exchange) classify(c *conn, resp *http.Response, body []byte) (rep dispatch.Result, keep bool) {
	n, h := &x.client.names, resp.Header
	ids, seals := h[n.ID], h[n.Seal]
	switch {
	case len(ids) > 1 || len(ids) == 1 && ids[0] != x.attempt.Request.ID:
		return x.malformedReply("another request's answer"), false
	case len(seals) > 1:
		return x.malformedReply("two seals"), false
	case len(h["Content-Encoding"]) > 0:
		return x.malformedReply("an encoded answer"), false
	}
	rep = dispatch.Result{
		Class: dispatch.ClassResponse, Status: resp.StatusCode, Header: h, Body: body, Seal: h.Get(n.Seal), Load: parseLoad(h.Get(n.Load)),
		Draining: resp.Close || resp.ProtoMinor == 0,
	}
	// What follows a whole answer belongs to nothing.
	keep = !rep.Draining && !c.surplus && c.readKeepAlive(h)
	_, not := h[n.NotExecuted]
	RemoveHopByHop(h, n.ID)
	if x.attempt.Request.Method != http.MethodHead {
		delete(h, "Content-Length")
	}
	switch {
	case rep.Status == http.StatusMisdirectedRequest:
		rep.Class, rep.WrongBackend, rep.Reason, keep = dispatch.ClassRejected, true, "another backend", false
	case not && rep.Status >= 300:
		rep.Class, rep.Reason = dispatch.ClassRejected, "turned away"
	case rep.Status/100 == 2 && rep.Seal == "":
		return x.malformedReply("a success without a seal"), false
	}
	// Without the request's id it may be an earlier one's. A promise that nothing ran is then only
	// taken for a request that may run again, or on a connection that carried no other.
	if len(ids) == 0 && (rep.Class == dispatch.ClassResponse || x.attempt.AtMostOnce && c.reused) {
		return x.malformedReply("an answer without the request's id"), false
	}
	return rep, keep && len(ids) == 1
}

// readKeepAlive notes how long the backend lets the connection be idle; false is that it is not worth keeping.
func (c *conn) readKeepAlive(h http.Header) bool {
	for o := range listItems(h, "Keep-Alive") {
		if k, v, ok := strings.Cut(o, "="); ok && strings.EqualFold(strings.TrimSpace(k), "timeout") {
			if s, err := strconv.ParseUint(strings.TrimSpace(v), 10, 31); err == nil {
				d := time.Duration(min(s, 3600)) * time.Second
				c.idleFor = min(MaxIdleTime, d-max(min(time.Second, d/2), d*3/10))
			}
		}
	}
	return c.idleFor > 0
}

// parseLoad reads what a backend tells of itself: requests running, waiting, and slots.
func parseLoad(s string) (l dispatch.LoadReport) {
	parts := strings.Split(s, ",")
	if len(parts) != 3 {
		return l
	}
	for i, to := range [3]*int{&l.Running, &l.Queued, &l.Slots} {
		n, err := strconv.ParseUint(strings.TrimSpace(parts[i]), 10, 31)
		if err != nil {
			return dispatch.LoadReport{}
		}
		*to = int(n)
	}
	l.Known = true
	return l
}

// classifyFailure classes an exchange without a whole answer.
func (x *Exchange) classifyFailure(c *conn, err error) dispatch.Result {
	switch {
	case c.written == 0:
		return notSent("write: " + errorText(err))
	case c.err == nil:
		return x.malformedReply(err.Error())
	}
	rep := dispatch.Result{Class: dispatch.ClassFailed, Reason: errorText(c.err)}
	x.mu.Lock()
	rep.TimedOut = !x.canceled && errors.Is(c.err, os.ErrDeadlineExceeded)
	x.mu.Unlock()
	return rep
}

func (x *Exchange) malformedReply(why string) dispatch.Result {
	x.client.counters.garbage.Add(1)
	return dispatch.Result{Class: dispatch.ClassInvalid, Reason: why}
}

func errorText(err error) string {
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		return "timed out"
	}
	var op *net.OpError
	if errors.As(err, &op) {
		err = op.Err
	}
	return err.Error()
}
