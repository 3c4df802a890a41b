// The chart itself: what is common to all kinds of inquiries. What a search
// does with its shards and a single inquiry with its one is beside it.

package search

import (
	"slices"
	"sync/atomic"

	"wallport/request/snapshot"
)

// Figures of the chart.
const (
	maxAttempts = 3
	// margin is kept of a deadline for the answer's own way back: a twentieth, 20 ms at most.
	maxMargin = 20_000
	// partialAfterPercent is how much of the deadline, in hundredths, a search waits for
	// its last shards once it has its required share.
	partialAfterPercent = 80
)

type attempt struct {
	shard  int
	server *snapshot.Backend
	sentAt int64
	open   bool
}

type shardRequest struct {
	answered         bool
	missing          bool
	records          []Record
	attemptedServers []string
	openAttempts     int
	attempts         int
	// unwritten counts the tries of which nothing was written: they ask nothing of anyone.
	unwritten int
	hedgeAt   int64
	reason    string
}

// StateMachine is one inquiry under way. It is used by one thread at a time.
type StateMachine struct {
	dispatcher    *Dispatcher
	request       Request
	snapshot      *snapshot.Snapshot
	index         *snapshot.Index
	shardMap      string
	state         State
	startedAt     int64
	deadline      int64
	shardRequests []shardRequest
	attempts      []attempt
	recordShard   int
	finished      bool
	shardMapUsers *atomic.Int64
	rnd           rnd
	actions       []Action
	trace         *Trace
	holdsKey      bool
	// isRepeat marks a repeat of the caller's: its tries are paid from the budget.
	isRepeat bool
	keyToken string
}

// NewStateMachine makes the chart of a checked inquiry.
func NewStateMachine(d *Dispatcher, in Request, now int64) *StateMachine {
	id := d.newID()
	m := &StateMachine{dispatcher: d, request: in, startedAt: now, state: StateRead, rnd: rnd(d.Seed + d.nextID.Load()*0x9e37)}
	m.trace = newTrace(id, &in, now)
	return m
}

// ID is the inquiry's id.
func (m *StateMachine) ID() string { return m.trace.ID }

// State is the state that the inquiry is in.
func (m *StateMachine) State() State { return m.state }

// Finished tells that the outcome has been given.
func (m *StateMachine) Finished() bool { return m.finished }

// Step takes one event and returns what is to be done.
func (m *StateMachine) Step(now int64, ev Event) []Action {
	m.actions = nil
	if m.finished {
		if r, ok := ev.(ReplyReceived); ok {
			m.recordLateReply(now, r)
		}
		return nil
	}
	switch v := ev.(type) {
	case Start:
		m.start(now)
	case KeyChecked:
		m.keyChecked(now, v.Admission)
	case ReplyReceived:
		m.replyReceived(now, v)
	case TimerFired:
		m.timerFired(now)
	}
	return m.actions
}

func (m *StateMachine) transition(now int64, s State, note string) {
	m.state = s
	m.trace.add(now, s, note)
}

func (m *StateMachine) emit(a Action) { m.actions = append(m.actions, a) }

// staleRecheck is how often an inquiry that waits for a thawed node's table looks again.
const staleRecheck = 10_000

func (m *StateMachine) start(now int64) {
	m.snapshot = m.dispatcher.Snapshot()
	if m.snapshot != nil && m.snapshot.Stale && now-m.startedAt < snapshot.MaxStale {
		m.emit(SetTimer{At: now + staleRecheck})
		return
	}
	m.dispatcher.Counts.Add("inquiries", 1)
	if !m.snapshot.Ready() {
		m.reject(now, CodeUnavailable, "this node has no table yet", 1)
		return
	}
	m.trace.snapshot = m.snapshot
	x, ok := m.snapshot.Indexes[m.request.Index]
	if !ok {
		m.reject(now, CodeNotFound, "no such index", 0)
		return
	}
	m.index, m.shardMap = x, x.ShardMap.Name
	deadline := m.request.Deadline
	if deadline == 0 {
		deadline = x.Service.DeadlineUs
	}
	deadline = min(deadline, x.Service.MaxDeadlineUs)
	m.deadline = m.startedAt + deadline - min(deadline/20, maxMargin)
	m.transition(now, StateClassified, m.request.Kind)
	if ok, why := m.dispatcher.withinLimits(m.snapshot, x, m.request.Kind, now); !ok {
		m.dispatcher.Counts.Add("over_ceiling", 1)
		m.reject(now, CodeRateLimited, "the "+why+" of "+m.request.Kind+" is used up", 1)
		return
	} else {
		m.trace.add(now, StateAdmitted, why)
	}
	if m.request.Key != "" {
		m.requestAdmission(now)
		return
	}
	m.admit(now)
}

func (m *StateMachine) reject(now int64, code, why string, retry int) {
	m.finish(now, StateRejected, Outcome{Code: code, Why: why, Ran: "no", Retry: retry})
}

func (m *StateMachine) finish(now int64, s State, o Outcome) {
	if m.finished {
		return
	}
	m.finished = true
	o.ID = m.ID()
	m.transition(now, s, o.Code)
	for n := range m.attempts {
		if t := &m.attempts[n]; t.open {
			// What is still out counts against its server as if it took until now.
			m.penalizeLatency(now, t)
			m.closeAttempt(now, n, Reply{})
			m.emit(Cancel{Attempt: n})
		}
	}
	if m.shardMapUsers != nil {
		m.shardMapUsers.Add(-1)
	}
	m.resolveKey(&o)
	m.dispatcher.Counts.Add("outcome_"+o.Code, 1)
	m.dispatcher.Traces.put(m.trace, now, o)
	m.emit(Finish{Outcome: o})
}

func (m *StateMachine) armTimer(now int64) {
	if m.finished {
		return
	}
	at := m.deadline
	for i := range m.shardRequests {
		w := &m.shardRequests[i]
		if w.openAttempts > 0 && !w.answered && m.mayHedge(w) {
			at = min(at, w.hedgeAt)
		}
	}
	if m.request.Kind == KindSearch {
		if p := m.partialAt(); p > now {
			at = min(at, p)
		}
	}
	m.emit(SetTimer{At: max(at, now+1)})
}

func (m *StateMachine) partialAt() int64 {
	return m.startedAt + (m.deadline-m.startedAt)*partialAfterPercent/100
}

func (m *StateMachine) mayHedge(w *shardRequest) bool {
	return !m.request.AtMostOnce() && w.attempts-w.unwritten < maxAttempts && w.hedgeAt < m.deadline
}

func (m *StateMachine) answeredShards() (done, missing []int) {
	done, missing = []int{}, []int{}
	for i := range m.shardRequests {
		if m.shardRequests[i].answered {
			done = append(done, i)
		} else {
			missing = append(missing, i)
		}
	}
	slices.Sort(done)
	return done, missing
}
