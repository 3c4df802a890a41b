// A line for each request of the platform's clients that ended without a success: what an
// incident is looked into from. Lines of one kind are few a second; the counters tell the rest.

package main

import (
	"go.uber.org/zap"

	"wallport/request/dispatch"
)

// requestLog writes the lines.
func requestLog(log *zap.Logger) func(t *dispatch.Trace) {
	return func(t *dispatch.Trace) {
		if !t.Failed() {
			return
		}
		if line := log.Check(zap.WarnLevel, requestEvent(t)); line != nil {
			line.Write(
				zap.String("id", t.ID), zap.String("method", t.Method), zap.String("path", t.Path), zap.String("route", t.Route),
				zap.Int("status", t.Status), zap.String("code", string(t.Code)), zap.String("why", t.Reason), zap.Int64("took_us", t.Duration),
				zap.Int64("revision", t.Revision), zap.Uint64("term", t.Term), zap.Uint64("seq", t.Seq), zap.String("asks", t.AttemptSummary()),
			)
		}
	}
}

// requestEvent names the line: refusals, of which there may be many, hide no failures.
func requestEvent(t *dispatch.Trace) string {
	switch t.Code {
	case dispatch.CodeRejected:
		return "request_refused"
	case dispatch.CodeClientGone:
		return "request_abandoned"
	}
	return "request_failed"
}
