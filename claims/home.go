// A home's side: what it answers to a claim, and what it keeps.
package claims

import (
	"slices"

	"wallport/kernel"
	"wallport/wire"
)

// claim is a home's answer.
func (c *Claims) claim(t *kernel.Turn, m wire.Claim) wire.ClaimReply {
	r := wire.ClaimReply{Key: m.Key, From: c.mesh.Self()}
	rec := c.records[m.Key]
	switch {
	case rec == nil:
		c.keep(m.Key, &record{sum: m.Sum, from: m.From, at: t.Now})
		r.Code = "in"
		if !c.knows(m.Key, m.Index, t.Now) {
			t.Counts.Add("claims_unsure", 1)
			r.Code = "unsure"
		}
	case rec.sum != 0 && rec.sum != m.Sum:
		r.Code = "conflict"
	case rec.done:
		r.Code, r.Body = "done", rec.body
	case t.Now-rec.at > RunningMost:
		// Whoever ran it never told: its outcome stays unknown.
		r.Code = "done"
	default:
		r.Code = "running"
	}
	return r
}

func (c *Claims) settle(t *kernel.Turn, m wire.Settle) {
	rec := c.records[m.Key]
	switch m.Code {
	case "released":
		if rec != nil && !rec.done && rec.from == string(m.Body) {
			delete(c.records, m.Key)
		}
	case "done":
		if rec == nil {
			rec = &record{at: t.Now}
			c.keep(m.Key, rec)
		}
		rec.done, rec.body = true, m.Body
	case "running":
		if rec == nil {
			c.keep(m.Key, &record{sum: uint64(m.Status), from: string(m.Body), at: t.Now})
		}
	}
}

func (c *Claims) keep(key string, r *record) {
	c.records[key] = r
	c.order = append(c.order, key)
	for len(c.order) > RecordsMost {
		delete(c.records, c.order[0])
		c.order = slices.Delete(c.order, 0, 1)
	}
}
