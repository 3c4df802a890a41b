package gateway

import (
	"go.uber.org/zap"

	"wallport/request/dispatch"
)

// LogFailures returns a function that logs a line for each failed request, for the analysis of incidents. The logger
// should sample, so that each event produces only a few lines a second; the counters cover all failures.
func LogFailures(log *zap.Logger) func(trace *dispatch.Trace) {
	return func(trace *dispatch.Trace) {
		if !trace.Failed() {
			return
		}
		if line := log.Check(zap.WarnLevel, failureEvent(trace)); line != nil {
			line.Write(
				zap.String("id", trace.ID), zap.String("method", trace.Method), zap.String("path", trace.Path), zap.String("route", trace.Route),
				zap.Int("status", trace.Status), zap.String("code", string(trace.Code)), zap.String("reason", trace.Reason),
				zap.Int64("took_us", trace.Duration), zap.Int64("revision", trace.Revision), zap.Uint64("term", trace.Term),
				zap.Uint64("seq", trace.Seq), zap.String("attempts", trace.AttemptSummary()),
			)
		}
	}
}

// failureEvent returns the log event of a failed request. Rejections, which may be frequent, have a separate event, so
// that sampling does not drop other failures in their favor.
func failureEvent(trace *dispatch.Trace) string {
	switch trace.Code {
	case dispatch.CodeRejected:
		return "request_refused"
	case dispatch.CodeClientGone:
		return "request_abandoned"
	}
	return "request_failed"
}
