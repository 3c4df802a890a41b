package idempotency

import (
	"fmt"
	"slices"

	"wallport/request/search"
	"wallport/runtime/kernel"
)

// callers sends up to four requests with a new key through random nodes. A request may be sent before an earlier
// one has been answered. Then it schedules the requests with the next key.
func (m *model) callers(number int) {
	key := fmt.Sprintf("key-%d", number)
	tries := 1 + m.rand.IntN(4)
	for range tries {
		m.after(m.between(0, 600*ms), func() { m.call(key, 4) })
	}
	m.after(m.between(10*ms, 40*ms), func() { m.callers(number + 1) })
}

func (m *model) call(key string, attempts int) {
	n := m.selectNode()
	again := func() {
		if attempts > 1 {
			m.after(m.between(100*ms, 500*ms), func() { m.call(key, attempts-1) })
		}
	}
	if !n.up {
		again()
		return
	}
	m.lastCall++
	process := n.incarnation()
	m.calls[m.lastCall] = func(v search.Admission) {
		if v.Code != "in" {
			again()
			return
		}
		m.admit(process, key, v.Token)
	}
	n.step(kernel.Call{Plugin: "idempotency", ID: m.lastCall, Request: Admit{Key: key, Index: "index", Digest: 7, Timeout: 2 * second}})
}

// selectNode returns a random node for a request. Half of the time it selects only among the nodes that have just
// started, if there are any.
func (m *model) selectNode() *modelNode {
	justStarted := slices.DeleteFunc(slices.Clone(m.nodes), func(n *modelNode) bool { return !n.up || m.now-n.upAt > justStartedFor })
	if len(justStarted) > 0 && m.rand.IntN(2) == 0 {
		return justStarted[m.rand.IntN(len(justStarted))]
	}
	return m.nodes[m.rand.IntN(len(m.nodes))]
}

// admit records the admission of a key, and an error if the key was admitted before and not released. Later the
// process releases the key or records an outcome, unless it has crashed by then.
func (m *model) admit(process incarnation, key, token string) {
	m.admitted++
	if m.admittedKeys[key] {
		m.admittedTwice = append(m.admittedTwice, fmt.Sprintf("%s admitted again by %s at %.3f s", key, process.node.name, float64(m.now)/1e6))
	}
	m.admittedKeys[key] = true
	released := m.rand.IntN(8) == 0
	m.after(m.between(5*ms, 600*ms), func() {
		switch {
		case !process.alive():
		case released:
			delete(m.admittedKeys, key)
			process.node.step(kernel.Call{Plugin: "idempotency", Request: RecordOutcome{Key: key, Code: "released", Token: token}})
		default:
			process.node.step(kernel.Call{Plugin: "idempotency", Request: RecordOutcome{Key: key, Code: "done", Outcome: search.Outcome{Code: search.CodeOK}}})
		}
	})
}
