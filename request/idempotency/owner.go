// An owner's side: what it answers to a claim, and what it keeps.

package idempotency

import (
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// claim is an owner's answer.
func (c *Coordinator) answerClaim(ctx *kernel.Context, m wire.AdmitRequest) wire.AdmitReply {
	r := wire.AdmitReply{Key: m.Key, From: c.mesh.Self(), Name: c.name(), KeyOwners: c.countsOwners()}
	rec := c.records[m.Key]
	switch {
	case rec == nil || !rec.done && rec.from == m.From:
		if rec == nil {
			rec = &record{sum: m.Sum, from: m.From, at: ctx.Now}
			c.keep(m.Key, rec)
		}
		r.Code, r.Attempted = "in", c.seen.has(m.Key, ctx.Now)
		if rec.unsure = !c.canVouch(m.Key, m.Index, ctx.Now); rec.unsure {
			ctx.Counts.Add("claims_unsure", 1)
			r.Code = "unsure"
		}
	case rec.sum != 0 && rec.sum != m.Sum:
		r.Code = "conflict"
	case rec.done:
		r.Code, r.Body = "done", rec.body
	case ctx.Now-rec.at > c.uncertainFor():
		// Whoever ran it never told: its outcome stays unknown.
		r.Code = "done"
	default:
		r.Code = "running"
	}
	return r
}

func (c *Coordinator) name() string { return c.table.Self() }

func (c *Coordinator) settle(ctx *kernel.Context, m wire.Outcome) {
	rec := c.records[m.Key]
	switch m.Code {
	case "released":
		if rec != nil && !rec.done && rec.from == string(m.Body) {
			delete(c.records, m.Key)
			if m.Attempted {
				c.seen.add(m.Key, ctx.Now)
			}
		}
	case "done":
		if rec == nil {
			rec = &record{at: ctx.Now}
			c.keep(m.Key, rec)
		}
		if !rec.done || len(rec.body) == 0 {
			rec.done, rec.body = true, m.Body
		}
	case "running":
		switch {
		case rec == nil:
			c.keep(m.Key, &record{sum: uint64(m.Status), from: string(m.Body), at: ctx.Now})
		case rec.unsure && !rec.done && rec.from != string(m.Body):
			// Either claim may have been let in: nobody's release frees the key.
			rec.from = contested
		}
	}
}

// contested stands for the claim of a record that two claims may have been let in with.
const contested = ""

// countsOwners is how many owners a key has by what this process knows of the fleet.
func (c *Coordinator) countsOwners() int {
	return min(ownersMost, max(len(c.roster), len(c.snapshot().KeyOwners)))
}

func (c *Coordinator) keep(key string, r *record) {
	c.records[key] = r
	c.order = append(c.order, key)
	for len(c.order) > RecordsMost {
		delete(c.records, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *Coordinator) prune(now int64) {
	for len(c.order) > 0 {
		r := c.records[c.order[0]]
		if r != nil && now-r.at < KeyLife {
			return
		}
		delete(c.records, c.order[0])
		c.order = c.order[1:]
	}
}
