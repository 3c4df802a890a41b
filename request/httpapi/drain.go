package httpapi

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wallport/runtime/kernel"
)

// Drain begins a planned stop: the process announces that it is draining, and releases its leases. Further calls have no
// effect.
func (s *Server) Drain() {
	if s.draining.Swap(true) {
		return
	}
	close(s.stopping)
	s.process.Post(kernel.Stopping{})
	s.logDrainStep("draining")
}

// Stop drains the process. If the caller API is open, it then waits for drainGrace, so that callers and other processes
// notice the draining. Finally it waits up to drainTimeout for the requests in flight.
func (s *Server) Stop() {
	s.Drain()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callerServer != nil {
		time.Sleep(drainGrace)
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if s.callerServer != nil {
		if err := s.callerServer.Shutdown(ctx); err != nil {
			s.process.Log.Error("drain_incomplete", zap.Error(err), zap.Int64("in_flight", s.openRequests.Load()))
		}
	}
	s.logDrainStep("served")
	s.operatorServer.Shutdown(ctx)
}

// logDrainStep logs a step of the stop with the counts of requests. A node without a caller API logs nothing.
func (s *Server) logDrainStep(event string) {
	if s.node == nil || s.process.Kernel.Boot.Settings.Caller != "" {
		s.process.Log.Info(event, zap.Int64("read", s.process.Kernel.Counts.Of("inquiries_read").Load()), zap.Int64("open", s.openRequests.Load()))
	}
}
