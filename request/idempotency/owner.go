package idempotency

import (
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// handleAdmitRequest returns this process's reply as an owner of the key, and records the admission.
func (c *Coordinator) handleAdmitRequest(ctx *kernel.Context, m wire.AdmitRequest) wire.AdmitReply {
	r := wire.AdmitReply{Key: m.Key, From: c.mesh.Self(), Name: c.name(), KeyOwners: c.ownerCount()}
	rec := c.records[m.Key]
	switch {
	case rec == nil || !rec.completed && rec.token == m.From:
		if rec == nil {
			rec = &record{digest: m.Sum, token: m.From, admittedAt: ctx.Now}
			c.addRecord(m.Key, rec)
		}
		r.Code, r.Attempted = replyAdmitted, c.recent.has(m.Key, ctx.Now)
		if rec.uncertain = !c.isCertain(m.Key, m.Index, ctx.Now); rec.uncertain {
			ctx.Counts.Add("claims_unsure", 1)
			r.Code = replyUncertain
		}
	case rec.digest != 0 && rec.digest != m.Sum:
		r.Code = replyConflict
	case rec.completed:
		r.Code, r.Body = replyCompleted, rec.outcome
	case ctx.Now-rec.admittedAt > c.uncertainFor():
		// The node whose request was admitted never reported an outcome, so the outcome stays unknown.
		r.Code = replyCompleted
	default:
		r.Code = replyInProgress
	}
	return r
}

func (c *Coordinator) name() string { return c.builder.Self() }

// updateRecord applies an outcome, or a record that another owner handed over, to the records.
func (c *Coordinator) updateRecord(ctx *kernel.Context, m wire.Outcome) {
	rec := c.records[m.Key]
	switch m.Code {
	case outcomeReleased:
		if rec != nil && !rec.completed && rec.token == string(m.Body) {
			delete(c.records, m.Key)
			if m.Attempted {
				c.recent.add(m.Key, ctx.Now)
			}
		}
	case outcomeCompleted:
		if rec == nil {
			rec = &record{admittedAt: ctx.Now}
			c.addRecord(m.Key, rec)
		}
		if !rec.completed || len(rec.outcome) == 0 {
			rec.completed, rec.outcome = true, m.Body
		}
	case outcomePending:
		switch {
		case rec == nil:
			c.addRecord(m.Key, &record{digest: uint64(m.Status), token: string(m.Body), admittedAt: ctx.Now})
		case rec.uncertain && !rec.completed && rec.token != string(m.Body):
			// Either of the two requests may have been admitted, so a release by one of them must not free the key.
			rec.token = contested
		}
	}
}

// contested is the token of a record for which two different requests may have been admitted.
const contested = ""

// ownerCount returns the number of owners per key, given the nodes that this process knows.
func (c *Coordinator) ownerCount() int {
	return min(maxOwners, max(len(c.roster), len(c.snapshot().KeyOwners)))
}

// addRecord adds a record, and drops the oldest records while there are more than MaxRecords.
func (c *Coordinator) addRecord(key string, r *record) {
	c.records[key] = r
	c.recordOrder = append(c.recordOrder, key)
	for len(c.recordOrder) > MaxRecords {
		delete(c.records, c.recordOrder[0])
		c.recordOrder = c.recordOrder[1:]
	}
}

// prune drops the records that are older than KeyTTL.
func (c *Coordinator) prune(now clock.Micros) {
	for len(c.recordOrder) > 0 {
		r := c.records[c.recordOrder[0]]
		if r != nil && now-r.admittedAt < KeyTTL {
			return
		}
		delete(c.records, c.recordOrder[0])
		c.recordOrder = c.recordOrder[1:]
	}
}
