// Simulated backends ("servers" in scenarios), and the answers to fetches of health reports and of the platform's
// endpoint list.

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

// serverMode is how a server misbehaves. Scenarios use the text as the name of the mode. A text that is none of the
// constants below is a mode of backend.EncodeWithDefect, which corrupts responses.
type serverMode string

// Modes of servers. A vanished server is down and does not refuse connections: dials to it time out.
const (
	serverOK       serverMode = ""
	serverSlow     serverMode = "slow"
	serverHangs    serverMode = "hang"
	serverPaused   serverMode = "pause"
	serverRejects  serverMode = "refuse"
	serverVanished serverMode = "vanish"
)

type server struct {
	sim                 *Simulation
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

// slowStartUs is the slow-start time in the simulated configuration.
const slowStartUs = 3 * clock.Second

func (sim *Simulation) addServer(row wire.Backend, shards int) *server {
	row.Addr = fmt.Sprintf("10.1.%d.%d:80", len(sim.servers)/200, len(sim.servers)%200)
	s := &server{sim: sim, row: row, shards: shards, serviceUs: sim.Script.Int("server_us", 2000)}
	// Servers that exist at the start are warm; servers that are added later are cold.
	s.boot()
	if sim.now == 0 {
		s.born = -10 * slowStartUs
	}
	sim.servers[row.ID] = s
	sim.serverIDs = append(sim.serverIDs, row.ID)
	sim.serversByAddr[row.Addr] = s
	return s
}

func (s *server) boot() {
	s.up, s.born, s.running = true, s.sim.now, 0
	s.incarnation++
	s.reportedIncarnation = epoch + s.sim.now + int64(s.incarnation)
	s.sim.logEvent(s.row.ID + " boots")
}

func (s *server) kill() { s.up = false; s.incarnation++; s.sim.logEvent(s.row.ID + " dies") }

func (sim *Simulation) fetch(p *process, f kernel.Fetch) {
	if sim.day != nil {
		sim.day.fetch(p, f)
		return
	}
	answer := p.answerFetch(f)
	host, platform := hostOf(f.URL)
	rtt := 2 * sim.net.latency()
	if platform {
		if sim.net.partitioned(p.name, "platform") {
			return
		}
		status, body := sim.platform.serveList()
		answer(rtt, kernel.Fetched{Status: status, Body: body})
		return
	}
	s := sim.serversByAddr[host]
	switch {
	case s == nil || sim.net.partitioned(p.name, s.row.ID) || s.mode == serverHangs || s.mode == serverPaused:
		return
	case !s.up && s.mode == serverVanished:
		return
	case !s.up:
		answer(rtt, kernel.Fetched{Err: "connection refused"})
		return
	}
	b, _ := json.Marshal(healthcheck.Response{ID: s.row.ID, Incarnation: s.reportedIncarnation, UpUs: sim.now - s.born, Usage: s.running, ShardMap: s.row.ShardMap})
	answer(rtt, kernel.Fetched{Status: 200, Body: b})
}

// sendToServer sends one request to a server and calls done with the result that the node sees. If the server hangs
// or the way back is partitioned, done is never called.
func (sim *Simulation) sendToServer(p *process, a *search.Send, done func(search.Result)) {
	s := sim.serversByAddr[a.Backend.Addr]
	latency := sim.net.latency()
	if s == nil || !s.up && s.mode != serverVanished {
		sim.after(2*latency, func() { done(search.Result{Class: search.ClassNotSent, Reason: "connection refused"}) })
		return
	}
	if !s.up || sim.net.partitioned(p.name, s.row.ID) {
		sim.after(300*clock.Millisecond, func() { done(search.Result{Class: search.ClassNotSent, Reason: "timed out"}) })
		return
	}
	incarnation := s.incarnation
	sim.after(latency, func() {
		broken := func() {
			sim.after(latency, func() { done(search.Result{Class: search.ClassFailed, Reason: "reset"}) })
		}
		if !s.up || s.incarnation != incarnation {
			broken()
			return
		}
		s.running++
		took := s.drawServiceTime()
		refuses := s.mode == serverRejects
		if !refuses {
			sim.recordExecution(a)
		}
		sim.after(took, func() {
			if s.incarnation != incarnation {
				broken()
				return
			}
			s.running--
			if s.mode == serverHangs {
				return
			}
			raw := s.respond(a, refuses)
			back := latency
			if sim.net.partitioned(s.row.ID, p.name) {
				return
			}
			sim.after(back, func() { done(raw) })
		})
	})
}

func (s *server) drawServiceTime() clock.Micros {
	us := s.serviceUs + s.sim.rng.Int64N(s.serviceUs)
	if s.mode == serverSlow || s.mode == serverPaused {
		us = s.slowUs + s.sim.rng.Int64N(s.slowUs/4+1)
	}
	if up := s.sim.now - s.born; up < slowStartUs {
		us += s.sim.Script.Int("cold_times", 4) * us * (slowStartUs - up) / slowStartUs
	}
	// Every 16 concurrent requests add the base time once more.
	return us * (1 + s.running/16)
}

// respond builds the response body that the real test backend (lab/backend) would send, and checks it as a node
// does.
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
		r, ok := records.Lookup(in.Record)
		if !ok || search.ShardOf(in.Record, s.shards) != s.row.Shard {
			status = 404
			break
		}
		sealed.Records = []search.Record{r}
	}
	raw, closed := backend.EncodeWithDefect(string(s.mode), status, sealed)
	if closed {
		return search.Result{Class: search.ClassFailed, Reason: "cut short"}
	}
	return search.CheckResponse(a, raw)
}

// recordExecution reports to the checker the execution of a request that must run at most once.
func (sim *Simulation) recordExecution(a *search.Send) {
	if !a.Request.AtMostOnce() {
		return
	}
	key := a.Request.Key
	if key == "" {
		key = a.ID
	}
	sim.Checker.Ran(key, sim.now)
}
