// What an inquiry under a key waits for before it is let in.
package inquiry

import "encoding/json"

// claimWait bounds the wait for the homes of a key.
const claimWait = 1_000_000

func (c *Chart) claimed(now int64, v Verdict) {
	if c.state != StClassified {
		return
	}
	c.trace.add(now, StLetIn, "claim "+v.Code)
	switch v.Code {
	case "in":
		c.keyed, c.token = true, v.Token
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
	default:
		c.shed(now, Shed, "too few of the key's home nodes could vouch for it", 1)
	}
}
