// Checks of configurations: acknowledged configurations are in force in time, no node goes back to an older
// configuration, rejected configurations (including those that lost a race) never take effect, and the accepted edits
// form one chain in which each edit is based on the previous one. The chain is the history of a compare-and-set
// register and is checked exactly.

package check

import (
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// CodeOpen is the code of an edit that has not been answered yet.
const CodeOpen wire.Code = "open"

// Edit is one edit of the configuration by an operator.
type Edit struct {
	Mark    int64
	Base    wire.Version
	Began   clock.Micros
	Ended   clock.Micros
	Code    wire.Code
	Version wire.Version
	EditID  string
	// Invalid edits must never be accepted.
	Invalid bool
}

type observed struct {
	version wire.Version
	at      clock.Micros
}

type editLog struct {
	byMark map[int64]*Edit
	order  []int64
	acked  []observed
	node   map[string]observed
	// first is the version that was in force before the first edit, zero if there was none.
	first  wire.Version
	marks  map[wire.Version]int64
	byBase map[wire.Version]int64
}

func newEditLog() editLog {
	return editLog{byMark: map[int64]*Edit{}, node: map[string]observed{}, marks: map[wire.Version]int64{}, byBase: map[wire.Version]int64{}}
}

func newer(a, b wire.Version) bool { return a.Term > b.Term || a.Term == b.Term && a.Seq > b.Seq }

// EditBegan records the start of an edit. An edit is identified by its mark; retries with the same edit id have the
// same mark.
func (c *Checker) EditBegan(t Edit) {
	s := &c.edits
	if s.byMark[t.Mark] == nil {
		s.byMark[t.Mark] = &t
		s.order = append(s.order, t.Mark)
	}
}

// EditEnded records the answer to an edit or to a retry with the same id. Once an edit has been acknowledged, later
// answers do not change its outcome.
func (c *Checker) EditEnded(t Edit) {
	s := &c.edits
	c.EditBegan(t)
	was := s.byMark[t.Mark]
	if t.Code == wire.CodeOK && t.Invalid {
		c.Fail(ConfigLoserInForce, t.Ended, "edit %d is invalid and was accepted", t.Mark)
	}
	if was.Code == wire.CodeOK {
		if t.Code == wire.CodeLostRace || t.Code == wire.CodeInvalid || t.Code == wire.CodeConflict {
			c.Fail(RetryDiffers, t.Ended, "edit %d was answered ok and then %s", t.Mark, t.Code)
		}
		c.tested(RetryDiffers)
		if t.Code == wire.CodeOK && t.Version != was.Version {
			c.Fail(BothAccepted, t.Ended, "edit %d was answered %v and then %v", t.Mark, was.Version, t.Version)
		}
		return
	}
	if t.Code == wire.CodeOK || was.Code == CodeOpen {
		was.Code, was.Version, was.Ended = t.Code, t.Version, t.Ended
	}
	if t.Code != wire.CodeOK {
		return
	}
	c.tested(BothAccepted)
	if other, taken := s.byBase[t.Base]; taken && other != t.Mark {
		c.Fail(BothAccepted, t.Ended, "edits %d and %d, both based on %v, were accepted", other, t.Mark, t.Base)
	}
	s.byBase[t.Base] = t.Mark
	if n := len(s.acked); n == 0 || newer(t.Version, s.acked[n-1].version) {
		s.acked = append(s.acked, observed{t.Version, t.Ended})
	}
}

// InForce records the configuration that a node has in force. A reachable node must apply an acknowledged
// configuration within ConfigWithin. since is the time since which the node has been reachable, negative if the node
// is not reachable.
func (c *Checker) InForce(node string, version wire.Version, mark int64, at, since clock.Micros) {
	s := &c.edits
	if was := s.node[node]; newer(was.version, version) {
		c.Fail(ConfigWentBack, at, "%s went back from version %v to the older version %v", node, was.version, version)
	}
	c.tested(ConfigWentBack)
	s.node[node] = observed{version, at}
	if version.Term > 0 {
		if m, ok := s.marks[version]; ok && m != mark {
			c.Fail(ConfigLoserInForce, at, "%s has edit %d in force as version %v, which is edit %d on other nodes", node, mark, version, m)
		}
		s.marks[version] = mark
		if t := s.byMark[mark]; t != nil {
			c.tested(ConfigLoserInForce)
			if t.Code == wire.CodeInvalid || t.Code == wire.CodeLostRace || t.Code == wire.CodeConflict || t.Code == wire.CodeOverloaded {
				c.Fail(ConfigLoserInForce, at, "%s has edit %d in force, which was answered %s", node, mark, t.Code)
			}
		}
	}
	if since < 0 {
		return
	}
	for i := len(s.acked) - 1; i >= 0; i-- {
		a := s.acked[i]
		if at-max(a.at, since) <= ConfigWithin {
			continue
		}
		c.tested(ConfigLate)
		if newer(a.version, version) {
			c.Fail(ConfigLate, at, "%s has version %v in force although version %v was acknowledged %d us ago", node, version, a.version, at-a.at)
		}
		return
	}
}

// Restarted forgets the version that a node had in force before its restart. The node must still apply acknowledged
// configurations in time.
func (c *Checker) Restarted(node string) { delete(c.edits.node, node) }

// CheckChain checks the complete history at the end of a run: that it is linearizable, that an edit that ended before
// another began has the older version, and that each accepted edit is based on the accepted edit before it.
func (c *Checker) CheckChain() {
	c.linearizable()
	s := &c.edits
	for i, a := range s.order {
		ta := s.byMark[a]
		if ta.Code != wire.CodeOK {
			continue
		}
		for _, b := range s.order[i+1:] {
			tb := s.byMark[b]
			if tb.Code != wire.CodeOK {
				continue
			}
			first, second := ta, tb
			if newer(first.Version, second.Version) {
				first, second = tb, ta
			}
			if second.Ended < first.Began {
				c.Fail(BothAccepted, second.Ended, "edit %d ended before edit %d began but has the newer version", second.Mark, first.Mark)
			}
			if newer(first.Version, second.Base) {
				c.Fail(BothAccepted, second.Ended, "edit %d with version %v is based on %v, which is older than the accepted version %v of edit %d", second.Mark, second.Version, second.Base, first.Version, first.Mark)
			}
		}
	}
}

// BookingSlack is how late a booking may start or end, relative to its window: a leader election may be in progress,
// and the change takes time to reach the nodes.
const BookingSlack = 5 * clock.Second

// Booking checks that a node has a booking running within its window and not outside of it, with a tolerance of
// BookingSlack.
func (c *Checker) Booking(node, id string, runs bool, from, to, at clock.Micros) {
	if at-c.ClocksAgree <= BookingSlack {
		return
	}
	switch {
	case at > from+BookingSlack && at < to:
		c.tested(BookingOutsideWindow)
		if !runs {
			c.Fail(BookingOutsideWindow, at, "%s does not have booking %s running, %d us into its window", node, id, at-from)
		}
	case at < from || at > to+BookingSlack:
		c.tested(BookingOutsideWindow)
		if runs {
			c.Fail(BookingOutsideWindow, at, "%s has booking %s running outside its window", node, id)
		}
	}
}
