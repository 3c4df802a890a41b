// The request path of a simulated node: the product's search state machine, whose actions are carried out on the
// simulated network.

package sim

import (
	"slices"

	"wallport/request/idempotency"
	"wallport/request/search"
)

type searchRequest struct {
	stateMachine *search.StateMachine
	in           *search.Request
	done         func(o *search.Outcome)
	wakeups      uint64
}

type frontend struct {
	process  *process
	requests map[*searchRequest]bool
	ordered  []*searchRequest
}

func newFrontend(p *process) *frontend {
	return &frontend{process: p, requests: map[*searchRequest]bool{}}
}

// accept starts a request that the node has read completely. done is called with the outcome, or with nil if the
// request is aborted.
func (f *frontend) accept(in search.Request, done func(o *search.Outcome)) {
	r := &searchRequest{in: &in, done: done}
	// In a frozen process the request stays unread until the process thaws or ends.
	f.requests[r] = true
	f.ordered = append(f.ordered, r)
	f.process.deliver(func() {
		r.stateMachine = search.NewStateMachine(f.process.dispatcher, in, f.process.now())
		f.step(r, search.Begin{})
	})
}

// abort aborts every request in flight when the process ends.
func (f *frontend) abort() {
	list := f.ordered
	f.ordered = nil
	for _, r := range list {
		if f.requests[r] {
			delete(f.requests, r)
			r.done(nil)
		}
	}
}

func (f *frontend) step(r *searchRequest, ev search.Event) {
	if !f.requests[r] {
		return
	}
	acts := r.stateMachine.Step(f.process.now(), ev)
	if at := f.process.freezeAt; at != "" && r.stateMachine.State() == at {
		// The actions of this step are carried out before the process freezes; their results are delivered after it
		// thaws.
		f.process.freezeAt = ""
		f.process.sim.Checker.Count("frozen_at."+string(at), 1)
		f.process.sim.after(0, f.process.freeze)
		f.process.sim.after(f.process.freezeFor, f.process.thaw)
	}
	for _, a := range acts {
		f.perform(r, a)
	}
}

func (f *frontend) perform(r *searchRequest, a search.Action) {
	p := f.process
	switch v := a.(type) {
	case search.Send:
		f.checkRequest(&v)
		incarnation := p.incarnation
		p.sim.sendToServer(p, &v, func(rep search.Result) {
			if p.incarnation == incarnation {
				p.deliver(func() { f.step(r, search.AttemptDone{Attempt: v.Attempt, Result: rep}) })
			}
		})
	case search.SetTimer:
		r.wakeups++
		mine := r.wakeups
		p.deliverAfter(v.At-p.now(), func() {
			if r.wakeups == mine {
				f.step(r, search.TimerFired{})
			}
		})
	case search.AdmitKey:
		p.call("idempotency", idempotency.Admit{Key: v.Key, Index: v.Index, Digest: v.Digest, FirstAttempt: v.FirstAttempt, Timeout: v.Timeout, Repeatable: v.OnlyDetectRepeat}, func(ans any) {
			if s, in := search.LateAdmission(v.Key, ans.(search.Admission)); in && !f.requests[r] {
				f.perform(r, s)
				return
			}
			f.step(r, search.KeyChecked{Admission: ans.(search.Admission)})
		})
	case search.ResolveKey:
		p.call("idempotency", idempotency.RecordOutcome{Key: v.Key, Code: string(v.Resolution), Token: v.Token, Attempted: v.Attempted, Outcome: v.Outcome}, nil)
	case search.Finish:
		delete(f.requests, r)
		f.ordered = slices.DeleteFunc(f.ordered, func(o *searchRequest) bool { return o == r })
		o := v.Outcome
		r.done(&o)
	}
}

// checkRequest reports to the checker a request that this node sends to a server.
func (f *frontend) checkRequest(a *search.Send) {
	sim := f.process.sim
	// A request counts as a retry if any node has sent a request with the same key for the same shard before, even if
	// this node treats the request as a first attempt.
	isRetry := sim.callers.recordAttempt(a) || a.Retry
	if f.process.isolated {
		// An isolated node does not learn of new configurations and drained zones, and it reads the platform's list
		// itself.
		sim.Checker.Count("asks_of_isolated", 1)
		if sim.isolatedNodes == 1 && !sim.net.partitioned(f.process.name, "platform") {
			sim.Checker.RequestFromIsolated(a.Backend.ID, sim.now, sim.now-f.process.isolatedAt)
		}
	} else {
		sim.Checker.Request(a.Request.Index, a.Backend.ID, a.Backend.Zone, sim.now, isRetry, a.Replacement)
	}
	sim.Checker.Count("asks", 1)
	if isRetry && !a.Replacement {
		sim.Checker.Count("extra_tries", 1)
	}
	sim.checkSlowStart(f.process, a)
}

// checkSlowStart reports to the checker a request to a shard that has both warm and cold servers.
func (sim *Simulation) checkSlowStart(node *process, a *search.Send) {
	good, warm := 0, 0
	zones := map[string]int{}
	var cold []*server
	for _, id := range sim.serverIDs {
		s := sim.servers[id]
		if !s.up || s.row.ShardMap != a.ShardMap || s.row.Shard != a.Shard || s.mode != serverOK || s.row.State == "leaving" {
			continue
		}
		good++
		zones[s.row.Zone]++
		if sim.now-s.born >= slowStartUs {
			warm++
		} else {
			cold = append(cold, s)
		}
	}
	if warm == 0 {
		return
	}
	for _, s := range cold {
		sim.Checker.SlowStart(s.row.ID, s.born, slowStartUs, sim.now, s.row.ID == a.Backend.ID, fairShare(node.settings.Zone, s.row.Zone, zones, good))
	}
}

// fairShare returns the expected share of one request, in thousandths, that a warm server gets from a node. zones
// holds the number of healthy servers by zone, and good their total number. A node draws two candidates, one of them
// from its own zone if that zone has healthy servers.
func fairShare(nodeZone, serverZone string, zones map[string]int, good int) int64 {
	switch n := zones[nodeZone]; {
	case n == 0:
		return 1000 / int64(good)
	case nodeZone == serverZone:
		return 500/int64(n) + 500/int64(good)
	default:
		return 500 / int64(good)
	}
}
