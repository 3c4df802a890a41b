// An owner's side: what it answers to a claim, and what it keeps.

package idempotency

import (
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// claim is an owner's answer.
func (c *Coordinator) handleClaim(ctx *kernel.Context, m wire.AdmitRequest) wire.AdmitReply {
	r := wire.AdmitReply{Key: m.Key, From: c.mesh.Self(), Name: c.name(), KeyOwners: c.ownerCount()}
	rec := c.records[m.Key]
	switch {
	case rec == nil || !rec.completed && rec.token == m.From:
		if rec == nil {
			rec = &record{digest: m.Sum, token: m.From, admittedAt: ctx.Now}
			c.addRecord(m.Key, rec)
		}
		r.Code, r.Attempted = "in", c.recent.has(m.Key, ctx.Now)
		if rec.uncertain = !c.canVouch(m.Key, m.Index, ctx.Now); rec.uncertain {
			ctx.Counts.Add("claims_unsure", 1)
			r.Code = "unsure"
		}
	case rec.digest != 0 && rec.digest != m.Sum:
		r.Code = "conflict"
	case rec.completed:
		r.Code, r.Body = "done", rec.outcome
	case ctx.Now-rec.admittedAt > c.uncertainFor():
		// Whoever ran it never told: its outcome stays unknown.
		r.Code = "done"
	default:
		r.Code = "running"
	}
	return r
}

func (c *Coordinator) name() string { return c.table.Self() }

func (c *Coordinator) updateRecord(ctx *kernel.Context, m wire.Outcome) {
	rec := c.records[m.Key]
	switch m.Code {
	case "released":
		if rec != nil && !rec.completed && rec.token == string(m.Body) {
			delete(c.records, m.Key)
			if m.Attempted {
				c.recent.add(m.Key, ctx.Now)
			}
		}
	case "done":
		if rec == nil {
			rec = &record{admittedAt: ctx.Now}
			c.addRecord(m.Key, rec)
		}
		if !rec.completed || len(rec.outcome) == 0 {
			rec.completed, rec.outcome = true, m.Body
		}
	case "running":
		switch {
		case rec == nil:
			c.addRecord(m.Key, &record{digest: uint64(m.Status), token: string(m.Body), admittedAt: ctx.Now})
		case rec.uncertain && !rec.completed && rec.token != string(m.Body):
			// Either claim may have been let in: nobody's release frees the key.
			rec.token = contested
		}
	}
}

// contested stands for the claim of a record that two claims may have been let in with.
const contested = ""

// ownerCount is how many owners a key has by what this process knows of the fleet.
func (c *Coordinator) ownerCount() int {
	return min(maxOwners, max(len(c.roster), len(c.snapshot().KeyOwners)))
}

func (c *Coordinator) addRecord(key string, r *record) {
	c.records[key] = r
	c.recordOrder = append(c.recordOrder, key)
	for len(c.recordOrder) > MaxRecords {
		delete(c.records, c.recordOrder[0])
		c.recordOrder = c.recordOrder[1:]
	}
}

func (c *Coordinator) prune(now int64) {
	for len(c.recordOrder) > 0 {
		r := c.records[c.recordOrder[0]]
		if r != nil && now-r.admittedAt < KeyTTL {
			return
		}
		delete(c.records, c.recordOrder[0])
		c.recordOrder = c.recordOrder[1:]
	}
}
