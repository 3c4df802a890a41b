// What an inquiry under a key waits for before it is let in.

package search

import "encoding/json"

// claimMost bounds the wait for the homes of a key, and half of the deadline
// does; claimSlack is how much longer the chart waits for the homes' verdict.
const (
	claimMost  = 900_000
	claimSlack = 50_000
)

// claim asks for the key's homes to let it in.
func (c *Chart) claim(now int64) {
	if !c.in.Once() {
		c.act(Claim{Key: c.in.Key, Again: true})
		c.act(Wake{At: min(c.end, now+claimSlack)})
		return
	}
	within := min((c.end-now)/2, claimMost)
	c.act(Claim{Key: c.in.Key, Index: c.in.Index, Sum: c.in.Sum, First: c.in.First, Within: within})
	c.act(Wake{At: min(c.end, now+within+claimSlack)})
}

// LateClaim is what is to be done about a verdict that came when its inquiry was
// over: a key that was let in for nothing must not stay under way.
func LateClaim(key string, v Verdict) (Settle, bool) {
	return Settle{Key: key, Code: "released", Token: v.Token}, v.Code == "in"
}

// settleKey tells the homes what came of the key that this inquiry was let in with.
func (c *Chart) settleKey(o *Outcome) {
	if !c.keyed {
		return
	}
	s := Settle{Key: c.in.Key, Code: "done", Token: c.token, Tried: len(c.tries) > 0, Outcome: *o}
	switch {
	case !c.in.Once() && (s.Tried || c.repeat):
		return
	case !c.in.Once():
		s.Code = "unseen"
	case o.Ran == "no" && o.Code != OK:
		s.Code = "released"
	}
	c.act(s)
}

// RepeatOver begins the reason of a refusal because a repeat found the budget used up.
const RepeatOver = "a repeat, and the pool's budget of repeated tries is used up"

// ClaimsShort begins the reason of a refusal because too few homes of a key answer.
const ClaimsShort = "too few home nodes of the key: "

func (c *Chart) claimed(now int64, v Verdict) {
	if c.state != StClassified {
		return
	}
	c.trace.add(now, StLetIn, "claim "+v.Code)
	switch v.Code {
	case "in":
		c.keyed, c.token, c.repeat = true, v.Token, v.Repeat
		c.letIn(now)
	case "done":
		var o Outcome
		if json.Unmarshal(v.Body, &o) != nil {
			o = Outcome{Code: OutcomeUnknown, Ran: "unknown", Why: "an earlier inquiry of this key has no known outcome"}
		}
		o.Repeat = true
		c.finish(now, StAnswered, o)
	case "running":
		c.finish(now, StShed, Outcome{Code: Conflict, Why: "an inquiry of this key is under way", Ran: "unknown", Retry: 1})
	case "conflict":
		c.finish(now, StShed, Outcome{Code: Conflict, Why: "the key was used for another inquiry", Ran: "no"})
	case "unknown":
		c.finish(now, StAnswered, Outcome{Code: OutcomeUnknown, Ran: "unknown", Why: "so soon after a loss nobody knows whether an earlier inquiry of this key ran"})
	default:
		c.desk.Counts.Add("shed_claims", 1)
		c.shed(now, Shed, ClaimsShort+v.Why, 1)
	}
}
