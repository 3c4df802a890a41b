// The planned stop: the process says that it leaves, lets others notice, and
// finishes every inquiry that was read.

package httpapi

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wallport/runtime/kernel"
)

// Drain begins a planned stop: the process says that it is leaving and gives up what it holds for others.
func (s *Server) Drain() {
	if s.drains.Swap(true) {
		return
	}
	close(s.over)
	s.p.Post(kernel.Stopping{})
	s.note("draining")
}

// Stop is the planned stop: say so, let others notice, finish what was read.
func (s *Server) Stop() {
	s.Drain()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.caller != nil {
		time.Sleep(drainGrace)
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainAtMost)
	defer cancel()
	if s.caller != nil {
		if err := s.caller.Shutdown(ctx); err != nil {
			s.p.Log.Error("drain_cut", zap.Error(err), zap.Int64("open", s.open.Load()))
		}
	}
	s.note("served")
	s.oper.Shutdown(ctx)
}

// note logs a step of the stop, with what was read, unless another server has the clients.
func (s *Server) note(event string) {
	if s.front == nil || s.p.Kernel.Boot.Settings.Caller != "" {
		s.p.Log.Info(event, zap.Int64("read", s.p.Kernel.Counts.Of("inquiries_read").Load()), zap.Int64("open", s.open.Load()))
	}
}
