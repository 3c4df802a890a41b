// Package claims keeps inquiry keys in the memory of three home nodes each, so that a
// correction or part fetch that a caller repeats through another node runs once. Two homes must let a key in; a home that has just started,
// or has just become home of a key, says that it does not know. Records are
// handed to the nodes that become home of them.
package claims

import (
	"encoding/json"
	"fmt"

	"wallport/inquiry"
	"wallport/kernel"
	"wallport/mesh"
	"wallport/table"
	"wallport/wire"
)

// Figures of the claims.
const (
	Quarantine  = 15_000_000
	UnsureFor   = 2_500_000
	RecordsMost = 8192
	KeyLife     = 300_000_000
	RunningMost = 65_000_000
	ThirdWait   = 60_000
	GiveUp      = 900_000
)

// Ask is a Call to claim a key.
type Ask struct {
	Key   string
	Index string
	Sum   uint64
}

// Tell is a Call to settle a key; it has no answer.
type Tell struct {
	Key     string
	Code    string
	Token   string
	Outcome inquiry.Outcome
}

type record struct {
	sum  uint64
	from string
	done bool
	body []byte
	at   int64
}

type asking struct {
	id      uint64
	ask     Ask
	homes   []table.Node
	need    int
	replies map[string]string
	waiting bool
}

type oldRoster struct {
	until int64
	nodes []table.Node
}

// Claims is the plug-in of a node.
type Claims struct {
	mesh    *mesh.Mesh
	table   *table.Table
	records map[string]*record
	order   []string
	asks    map[uint64]*asking
	next    uint64
	// started is from when this process knows all that it let in or was told.
	started int64
	roster  []table.Node
	old     []oldRoster
	// first holds, per part, the indexes that had a cut when this process first saw it.
	first map[int]map[string]bool
}

func init() {
	kernel.Register(kernel.Registration{Rank: 80, Roles: []string{"node"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Claims{mesh: kernel.Find[*mesh.Mesh](k), table: kernel.Find[*table.Table](k), records: map[string]*record{}, asks: map[uint64]*asking{}, first: map[int]map[string]bool{}}
	}})
}

// Name is the plug-in's name.
func (c *Claims) Name() string { return "claims" }

// Kinds are the frames that it takes.
func (c *Claims) Kinds() []uint8 {
	return []uint8{wire.KindClaim, wire.KindClaimReply, wire.KindSettle}
}

// Step takes one input.
func (c *Claims) Step(t *kernel.Turn, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		c.started = t.Now
		t.After(200_000, "claims", "roster")
	case kernel.Thawed:
		c.started = t.Now
		clear(c.first)
	case mesh.Stored:
		if v.Entry.Type == "part" {
			c.firstSeen(v.Entry)
		}
	case kernel.Tick:
		if v.Key == "roster" {
			t.After(200_000, "claims", "roster")
			c.follow(t)
			return
		}
		var id uint64
		if _, err := fmt.Sscan(v.Key, &id); err == nil {
			c.decide(t, id, true)
		}
	case kernel.Call:
		switch a := v.Ask.(type) {
		case Ask:
			c.ask(t, v.ID, a)
		case Tell:
			c.tell(t, a)
		}
	case kernel.Message:
		c.message(t, v)
	}
}

func (c *Claims) message(t *kernel.Turn, v kernel.Message) {
	switch v.Kind {
	case wire.KindClaim:
		var m wire.Claim
		if wire.Decode(v.Body, &m) == nil {
			r := c.claim(t, m)
			t.Send(v.Chan, wire.KindClaimReply, v.ID, &r)
		}
	case wire.KindClaimReply:
		var m wire.ClaimReply
		if wire.Decode(v.Body, &m) == nil {
			c.replied(t, v.ID, m)
		}
	case wire.KindSettle:
		var m wire.Settle
		if wire.Decode(v.Body, &m) == nil {
			c.settle(t, m)
		}
	}
}

// ask claims a key at its homes.
func (c *Claims) ask(t *kernel.Turn, id uint64, a Ask) {
	cp := c.table.Now()
	homes := Homes(a.Key, cp.Roster)
	need := min(2, cp.Divisor)
	if minority(cp) || len(homes) < need {
		t.Counts.Add("claims_minority", 1)
		t.Answer(id, inquiry.Verdict{Code: "short"})
		return
	}
	c.next++
	w := &asking{id: id, ask: a, homes: homes, need: need, replies: map[string]string{}}
	n := c.next
	c.asks[n] = w
	m := wire.Claim{Key: a.Key, Index: a.Index, From: c.token(n), Sum: a.Sum}
	for _, h := range homes {
		if h.Origin == c.mesh.Self() {
			c.replied(t, n, c.claim(t, m))
			continue
		}
		t.SendTo(h.Addr, wire.KindClaim, n, &m)
	}
	t.After(GiveUp, "claims", fmt.Sprint(n))
}

func (c *Claims) replied(t *kernel.Turn, n uint64, r wire.ClaimReply) {
	w := c.asks[n]
	if w == nil || w.ask.Key != r.Key {
		return
	}
	w.replies[r.From] = r.Code
	switch r.Code {
	case "done", "running", "conflict":
		c.end(t, n, inquiry.Verdict{Code: r.Code, Status: r.Status, Body: r.Body})
		return
	}
	c.decide(t, n, false)
}

// decide waits for every home, but for a slow third one only briefly.
func (c *Claims) decide(t *kernel.Turn, n uint64, due bool) {
	w := c.asks[n]
	if w == nil {
		return
	}
	in := 0
	for _, code := range w.replies {
		if code == "in" {
			in++
		}
	}
	all := len(w.replies) == len(w.homes)
	switch {
	case in >= w.need && (all || due), all && in > 0:
		// Where all three have answered, all three have the key from now on, and one
		// that would know it vouches for those that cannot.
		c.end(t, n, inquiry.Verdict{Code: "in", Token: c.token(n)})
	case all || due:
		t.Counts.Add("claims_short", 1)
		c.end(t, n, inquiry.Verdict{Code: "short"})
	case in >= w.need && !w.waiting:
		w.waiting = true
		t.After(ThirdWait, "claims", fmt.Sprint(n))
	}
}

// token names one claim, not its node: two claims of one key through one node
// must not release each other.
func (c *Claims) token(n uint64) string { return fmt.Sprintf("%s#%d", c.mesh.Self(), n) }

func (c *Claims) end(t *kernel.Turn, n uint64, v inquiry.Verdict) {
	w := c.asks[n]
	delete(c.asks, n)
	t.Answer(w.id, v)
	if v.Code != "in" {
		c.spread(t, w.homes, wire.Settle{Key: w.ask.Key, Code: "released", Body: []byte(c.token(n))})
	}
}

// tell settles a key that this node was let in with.
func (c *Claims) tell(t *kernel.Turn, a Tell) {
	m := wire.Settle{Key: a.Key, Code: a.Code}
	if a.Code == "released" {
		m.Body = []byte(a.Token)
	} else if b, err := json.Marshal(a.Outcome); err == nil {
		m.Body = b
	}
	c.spread(t, Homes(a.Key, c.table.Now().Roster), m)
}

func (c *Claims) spread(t *kernel.Turn, homes []table.Node, m wire.Settle) {
	for _, h := range homes {
		if h.Origin == c.mesh.Self() {
			c.settle(t, m)
			continue
		}
		t.SendTo(h.Addr, wire.KindSettle, 0, &m)
	}
}
