// Simulated backends, and the answers to fetches of health reports and of the platform's list.

package sim

import (
	"encoding/json"
	"fmt"

	"wallport/lab/backend"
	"wallport/lab/records"
	"wallport/request/healthcheck"
	"wallport/request/search"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// serverMode is how a server misbehaves. Scenarios name the modes by their text; further ones, which spoil
// responses, are those of backend.Spoil.
type serverMode string

// Modes of servers. A vanished one is down and does not even refuse connections.
const (
	serverOK       serverMode = ""
	serverSlow     serverMode = "slow"
	serverHangs    serverMode = "hang"
	serverPaused   serverMode = "pause"
	serverRejects  serverMode = "refuse"
	serverVanished serverMode = "vanish"
)

type server struct {
	world               *World
	row                 wire.Backend
	shards              int
	up                  bool
	born                clock.Micros
	incarnation         int
	reportedIncarnation int64
	mode                serverMode
	slowUs              clock.Micros
	running             int64
	serviceUs           clock.Micros
}

// slowStartUs is the length of the slow start in the simulated configuration.
const slowStartUs = 3 * clock.Second

func (w *World) addServer(row wire.Backend, shards int) *server {
	row.Addr = fmt.Sprintf("10.1.%d.%d:80", len(w.servers)/200, len(w.servers)%200)
	s := &server{world: w, row: row, shards: shards, serviceUs: w.Script.Int("server_us", 2000)}
	// Initial servers are warm; later ones are cold.
	s.boot()
	if w.now == 0 {
		s.born = -10 * slowStartUs
	}
	w.servers[row.ID] = s
	w.serverIDs = append(w.serverIDs, row.ID)
	w.serversByAddr[row.Addr] = s
	return s
}

func (s *server) boot() {
	s.up, s.born, s.running = true, s.world.now, 0
	s.incarnation++
	s.reportedIncarnation = epoch + s.world.now + int64(s.incarnation)
	s.world.logEvent(s.row.ID + " boots")
}

func (s *server) kill() { s.up = false; s.incarnation++; s.world.logEvent(s.row.ID + " dies") }

func (w *World) fetch(p *process, f kernel.Fetch) {
	if w.day != nil {
		w.day.fetch(p, f)
		return
	}
	answer := p.answerFetch(f)
	host, platform := hostOf(f.URL)
	rtt := 2 * w.net.latency()
	if platform {
		if w.net.partitioned(p.name, "platform") {
			return
		}
		status, body := w.platform.serveList()
		answer(rtt, kernel.Fetched{Status: status, Body: body})
		return
	}
	s := w.serversByAddr[host]
	switch {
	case s == nil || w.net.partitioned(p.name, s.row.ID) || s.mode == serverHangs || s.mode == serverPaused:
		return
	case !s.up && s.mode == serverVanished:
		return
	case !s.up:
		answer(rtt, kernel.Fetched{Err: "connection refused"})
		return
	}
	b, _ := json.Marshal(healthcheck.Response{ID: s.row.ID, Incarnation: s.reportedIncarnation, UpUs: w.now - s.born, Usage: s.running, ShardMap: s.row.ShardMap})
	answer(rtt, kernel.Fetched{Status: 200, Body: b})
}

// askServer carries one request to a server and the reply back; done gets what the node sees.
func (w *World) askServer(p *process, a *search.Send, done func(search.Result)) {
	s := w.serversByAddr[a.Backend.Addr]
	there := w.net.latency()
	if s == nil || !s.up && s.mode != serverVanished {
		w.after(2*there, func() { done(search.Result{Class: search.ClassNotSent, Reason: "connection refused"}) })
		return
	}
	if !s.up || w.net.partitioned(p.name, s.row.ID) {
		w.after(300*clock.Millisecond, func() { done(search.Result{Class: search.ClassNotSent, Reason: "timed out"}) })
		return
	}
	life := s.incarnation
	w.after(there, func() {
		broken := func() {
			w.after(there, func() { done(search.Result{Class: search.ClassFailed, Reason: "reset"}) })
		}
		if !s.up || s.incarnation != life {
			broken()
			return
		}
		s.running++
		took := s.drawServiceTime()
		refuses := s.mode == serverRejects
		if !refuses {
			w.recordExecution(a)
		}
		w.after(took, func() {
			if s.incarnation != life {
				broken()
				return
			}
			s.running--
			if s.mode == serverHangs {
				return
			}
			raw := s.respond(a, refuses)
			back := there
			if w.net.partitioned(s.row.ID, p.name) {
				return
			}
			w.after(back, func() { done(raw) })
		})
	})
}

func (s *server) drawServiceTime() clock.Micros {
	us := s.serviceUs + s.world.rng.Int64N(s.serviceUs)
	if s.mode == serverSlow || s.mode == serverPaused {
		us = s.slowUs + s.world.rng.Int64N(s.slowUs/4+1)
	}
	if up := s.world.now - s.born; up < slowStartUs {
		us += s.world.Script.Int("cold_times", 4) * us * (slowStartUs - up) / slowStartUs
	}
	// More concurrent work than 16 requests slows all of it.
	return us * (1 + s.running/16)
}

// respond makes the body that the real stand-in would send, and checks it as a node does.
func (s *server) respond(a *search.Send, refuses bool) search.Result {
	in := a.Request
	sealed := search.BackendResponse{RequestID: a.ID, ShardMap: s.row.ShardMap, Shard: s.row.Shard, Incarnation: s.reportedIncarnation, Load: s.running}
	status := 200
	switch {
	case refuses:
		status = 503
	case in.Kind == search.KindSearch:
		sealed.Records = records.Top(in.Index, in.Query, in.Limit, a.Shard, s.shards)
	default:
		r, ok := records.Of(in.Record)
		if !ok || search.ShardOf(in.Record, s.shards) != s.row.Shard {
			status = 404
			break
		}
		sealed.Records = []search.Record{r}
	}
	raw, closed := backend.Spoil(string(s.mode), status, sealed)
	if closed {
		return search.Result{Class: search.ClassFailed, Reason: "cut short"}
	}
	return search.CheckResponse(a, raw)
}

// recordExecution reports an execution that must happen at most once to the checker.
func (w *World) recordExecution(a *search.Send) {
	if !a.Request.AtMostOnce() {
		return
	}
	key := a.Request.Key
	if key == "" {
		key = a.ID
	}
	w.Checker.Ran(key, w.now)
}
