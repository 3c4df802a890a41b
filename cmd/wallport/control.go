// The control address of a core on the platform.

package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"wallport/platform"
	"wallport/runtime/process"
	"wallport/runtime/wire"
)

// Bounds of the operators' connections.
const (
	controlHeaderBytes = 16 << 10
	controlReadTimeout = 10 * time.Second
	controlIdleTimeout = 30 * time.Second
	// controlStopTimeout is how long calls under way may take to end at a planned stop.
	controlStopTimeout = time.Second
)

// openControl serves operators until stop is called.
func openControl(p *process.Process, addr string, failed chan<- error) (stop func(), err error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &platform.Control{Call: p.Call, Log: auditLog(p.Log)}
	srv := &http.Server{
		Handler: c.Handler(), ReadHeaderTimeout: controlReadTimeout, ReadTimeout: controlReadTimeout, IdleTimeout: controlIdleTimeout, MaxHeaderBytes: controlHeaderBytes,
		ErrorLog: zap.NewStdLog(p.Log.WithOptions(zap.IncreaseLevel(zap.WarnLevel))),
	}
	go func() {
		if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), controlStopTimeout)
		defer cancel()
		srv.Shutdown(ctx)
	}, nil
}

// auditLog writes a line for each operator's call.
func auditLog(log *zap.Logger) func(a platform.Audit) {
	return func(a platform.Audit) {
		at := a.Reply.Version
		log.Info("audit", zap.String("op", a.Op), zap.String("name", a.Name), zap.Int64("base", a.Base), zap.Int64("revision", a.Revision),
			zap.String("result", string(a.Reply.Code)), zap.Uint64("term", at.Term), zap.Uint64("seq", at.Seq), zap.Int("findings", len(a.Reply.Findings)), zap.String("finding", firstFinding(a.Reply.Findings)),
			zap.String("from", a.From), zap.Int64("took_us", a.Took), zap.Bool("caller_gone", a.CallerGone))
	}
}

// firstFinding is the first reason of a refusal; empty without one.
func firstFinding(found []wire.Finding) string {
	if len(found) == 0 {
		return ""
	}
	return found[0].Path + ": " + found[0].Text
}
