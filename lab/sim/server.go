// Simulated back ends, and the fetches of health answers and of the platform's list.

package sim

import (
	"encoding/json"
	"fmt"
	"strings"

	"wallport/lab/backend"
	"wallport/lab/records"
	"wallport/request/healthcheck"
	"wallport/request/search"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

type server struct {
	w      *World
	row    wire.Backend
	shards int
	up     bool
	born   int64
	life   int
	inc    int64
	mode   string
	us     int64
	busy   int64
	takes  int64
}

// rampUs is how long the sheet of the stand-ins lets a cold server ramp.
const rampUs = 3_000_000

func (w *World) addServer(row wire.Backend, shards int) *server {
	row.Addr = fmt.Sprintf("10.1.%d.%d:80", len(w.servers)/200, len(w.servers)%200)
	s := &server{w: w, row: row, shards: shards, takes: w.Script.Int("server_us", 2000)}
	// Those that are there from the start are warm; later ones are cold.
	s.boot()
	if w.now == 0 {
		s.born = -10 * rampUs
	}
	w.servers[row.ID] = s
	w.serverN = append(w.serverN, row.ID)
	w.srvAddr[row.Addr] = s
	return s
}

func (s *server) boot() {
	s.up, s.born, s.busy = true, s.w.now, 0
	s.life++
	s.inc = epoch + s.w.now + int64(s.life)
	s.w.note(s.row.ID + " boots")
}

func (s *server) kill() { s.up = false; s.life++; s.w.note(s.row.ID + " dies") }

func (w *World) fetch(p *proc, f kernel.Fetch) {
	if w.day != nil {
		w.day.fetch(p, f)
		return
	}
	done := false
	answer := func(d int64, r kernel.Fetched) {
		r.Plugin, r.Key = f.Plugin, f.Key
		p.later(d, func() {
			if !done {
				done = true
				p.step(r)
			}
		})
	}
	answer(f.Timeout, kernel.Fetched{Err: "timed out"})
	host, _, _ := strings.Cut(strings.TrimPrefix(f.URL, "http://"), "/")
	rtt := 2 * w.net.latency()
	if host == "platform" {
		if w.net.cut(p.name, "platform") {
			return
		}
		status, body := w.plat.list()
		answer(rtt, kernel.Fetched{Status: status, Body: body})
		return
	}
	s := w.srvAddr[host]
	switch {
	case s == nil || w.net.cut(p.name, s.row.ID) || s.mode == "hang" || s.mode == "pause":
		return
	case !s.up && s.mode == "vanish":
		return
	case !s.up:
		answer(rtt, kernel.Fetched{Err: "connection refused"})
		return
	}
	b, _ := json.Marshal(healthcheck.Response{ID: s.row.ID, Incarnation: s.inc, UpUs: w.now - s.born, Usage: s.busy, Cut: s.row.ShardMap})
	answer(rtt, kernel.Fetched{Status: 200, Body: b})
}

// asked is the way of one ask to a server and back; done gets what the node sees.
func (w *World) asked(p *proc, a *search.Ask, done func(search.Reply)) {
	s := w.srvAddr[a.Server.Addr]
	there := w.net.latency()
	if s == nil || !s.up && s.mode != "vanish" {
		w.after(2*there, func() { done(search.Reply{Class: search.ReplyNotWritten, Why: "connection refused"}) })
		return
	}
	if !s.up || w.net.cut(p.name, s.row.ID) {
		w.after(300_000, func() { done(search.Reply{Class: search.ReplyNotWritten, Why: "timed out"}) })
		return
	}
	life := s.life
	w.after(there, func() {
		broken := func() {
			w.after(there, func() { done(search.Reply{Class: search.ReplyFailed, Why: "reset"}) })
		}
		if !s.up || s.life != life {
			broken()
			return
		}
		s.busy++
		took := s.serviceTime()
		refuses := s.mode == "refuse"
		if !refuses {
			w.ran(a)
		}
		w.after(took, func() {
			if s.life != life {
				broken()
				return
			}
			s.busy--
			if s.mode == "hang" {
				return
			}
			raw := s.answer(a, refuses)
			back := there
			if w.net.cut(s.row.ID, p.name) {
				return
			}
			w.after(back, func() { done(raw) })
		})
	})
}

func (s *server) serviceTime() int64 {
	us := s.takes + s.w.rnd.Int64N(s.takes)
	if s.mode == "slow" || s.mode == "pause" {
		us = s.us + s.w.rnd.Int64N(s.us/4+1)
	}
	if up := s.w.now - s.born; up < rampUs {
		us += s.w.Script.Int("cold_times", 4) * us * (rampUs - up) / rampUs
	}
	// Work beyond what a server does at once waits.
	return us * (1 + s.busy/16)
}

// answer makes the body that the real stand-in would send, and checks it as a node does.
func (s *server) answer(a *search.Ask, refuses bool) search.Reply {
	in := a.Inquiry
	sealed := search.Sealed{Inquiry: a.ID, Cut: s.row.ShardMap, Shard: s.row.Shard, Incarnation: s.inc, Usage: s.busy}
	status := 200
	switch {
	case refuses:
		status = 503
	case in.Kind == search.Search:
		sealed.Records = records.Top(in.Index, in.Query, in.Limit, a.Shard, s.shards)
	default:
		r, ok := records.Of(in.Record)
		if !ok || search.ShardOf(in.Record, s.shards) != s.row.Shard {
			status = 404
			break
		}
		sealed.Records = []search.Record{r}
	}
	raw, closed := backend.Spoil(s.mode, status, sealed)
	if closed {
		return search.Reply{Class: search.ReplyFailed, Why: "cut short"}
	}
	return search.Check(a, raw)
}

// ran counts an execution that must happen at most once.
func (w *World) ran(a *search.Ask) {
	if !a.Inquiry.Once() {
		return
	}
	key := a.Inquiry.Key
	if key == "" {
		key = a.ID
	}
	w.Judge.Ran(key, w.now)
}
