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

// classify returns the result for a complete response, and whether its connection may be reused.
func (x *Exchange) classify(c *conn, resp *http.Response, body []byte) (result dispatch.Result, keep bool) {
	names, header := &x.client.names, resp.Header
	ids, seals := header[names.ID], header[names.Seal]
	switch {
	case len(ids) > 1 || len(ids) == 1 && ids[0] != x.attempt.Request.ID:
		return x.malformedReply("another request's answer"), false
	case len(seals) > 1:
		return x.malformedReply("two seals"), false
	case len(header["Content-Encoding"]) > 0:
		return x.malformedReply("an encoded answer"), false
	}
	result = dispatch.Result{
		Class: dispatch.ClassResponse, Status: resp.StatusCode, Header: header, Body: body,
		Seal: header.Get(names.Seal), Load: parseLoad(header.Get(names.Load)),
		Draining: resp.Close || resp.ProtoMinor == 0,
	}
	// A connection with bytes after a complete response is not reused, because they belong to no request.
	keep = !result.Draining && !c.surplus && c.readKeepAlive(header)
	_, notExecuted := header[names.NotExecuted]
	RemoveHopByHop(header, names.ID)
	if x.attempt.Request.Method != http.MethodHead {
		delete(header, "Content-Length")
	}
	switch {
	case result.Status == http.StatusMisdirectedRequest:
		result.Class, result.WrongBackend, result.Reason, keep = dispatch.ClassRejected, true, "another backend", false
	case notExecuted && result.Status >= 300:
		result.Class, result.Reason = dispatch.ClassRejected, "turned away"
	case result.Status/100 == 2 && result.Seal == "":
		return x.malformedReply("a success without a seal"), false
	}
	// A response without the request's id may belong to an earlier request. A statement that the request did
	// not run is then accepted only if the request may run again or the connection has carried no other request.
	if len(ids) == 0 && (result.Class == dispatch.ClassResponse || x.attempt.AtMostOnce && c.reused) {
		return x.malformedReply("an answer without the request's id"), false
	}
	return result, keep && len(ids) == 1
}

// readKeepAlive updates how long the connection may stay idle if the response states the backend's keep-alive
// time: that time less a margin of three tenths of it. The margin is at least one second or, if the keep-alive
// time is below two seconds, half of that time. readKeepAlive reports whether the connection may stay idle at all,
// so that it can be kept.
func (c *conn) readKeepAlive(header http.Header) bool {
	const maxSeconds = 3600
	for item := range listItems(header, "Keep-Alive") {
		name, value, ok := strings.Cut(item, "=")
		if !ok || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		if seconds, err := strconv.ParseUint(strings.TrimSpace(value), 10, 31); err == nil {
			idle := time.Duration(min(seconds, maxSeconds)) * time.Second
			margin := max(min(time.Second, idle/2), idle*3/10)
			c.idleFor = min(MaxIdleTime, idle-margin)
		}
	}
	return c.idleFor > 0
}

// parseLoad parses a backend's load: the numbers of running requests, queued requests and slots. If the text has
// another format, Known is false in the returned report.
func parseLoad(s string) (load dispatch.LoadReport) {
	fields := strings.Split(s, ",")
	if len(fields) != 3 {
		return load
	}
	for i, to := range [3]*int{&load.Running, &load.Queued, &load.Slots} {
		n, err := strconv.ParseUint(strings.TrimSpace(fields[i]), 10, 31)
		if err != nil {
			return dispatch.LoadReport{}
		}
		*to = int(n)
	}
	load.Known = true
	return load
}

// classifyFailure returns the result of an exchange that got no complete response.
func (x *Exchange) classifyFailure(c *conn, err error) dispatch.Result {
	switch {
	case c.written == 0:
		return notSent("write: " + errorText(err))
	case c.err == nil:
		return x.malformedReply(err.Error())
	}
	result := dispatch.Result{Class: dispatch.ClassFailed, Reason: errorText(c.err)}
	x.mu.Lock()
	result.TimedOut = !x.canceled && errors.Is(c.err, os.ErrDeadlineExceeded)
	x.mu.Unlock()
	return result
}

// malformedReply returns the result for a response that is malformed or belongs to another request.
func (x *Exchange) malformedReply(reason string) dispatch.Result {
	x.client.counters.garbage.Add(1)
	return dispatch.Result{Class: dispatch.ClassInvalid, Reason: reason}
}

// errorText returns the text of an error without the addresses that package net adds.
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
