// The watch records when hollow nodes put a configuration in force and when they start or stop considering a member
// live. Both are read from the nodes' snapshots, which requests would use as well.

package scale

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"wallport/control/operations"
	"wallport/control/state"
	"wallport/request/snapshot"
	"wallport/runtime/wire"
)

// Observation is a change that was observed on a hollow node: the configuration in force or, if About is set, whether
// that member is live. AtUs is a time of this machine's clock in microseconds.
type Observation struct {
	AtUs  int64
	Node  string
	Stamp wire.Version
	About string `json:",omitempty"`
	Live  bool   `json:",omitempty"`
}

// EditResult is the result of an edit. SentUs is the time at which it was sent, AtUs the time at which the owner of the
// control-state partition answered.
type EditResult struct {
	Code         string
	Stamp        wire.Version
	SentUs, AtUs int64
}

// watchInterval is the interval at which the snapshots are read.
const watchInterval = 2 * time.Millisecond

type watch struct {
	stop chan struct{}
	done chan []Observation
	add  chan string
}

func wallUs() int64 { return time.Now().UnixMicro() }

func startWatch(nodes []*hollowNode) *watch {
	w := &watch{stop: make(chan struct{}), done: make(chan []Observation, 1), add: make(chan string)}
	go w.run(nodes)
	return w
}

// addMember makes the watch also record the liveness of a member; an empty name has no effect.
func (w *watch) addMember(name string) {
	if name != "" {
		w.add <- name
	}
}

// finish stops the watch and returns its observations.
func (w *watch) finish() []Observation {
	close(w.stop)
	return <-w.done
}

// nodeWatcher is the state of the watch for one node: its last snapshot and the last known liveness of each member.
type nodeWatcher struct {
	n    *hollowNode
	last *snapshot.Snapshot
	live map[string]bool
}

func (w *watch) run(nodes []*hollowNode) {
	var out []Observation
	var all []*nodeWatcher
	for _, n := range nodes {
		if n.builder != nil {
			all = append(all, &nodeWatcher{n: n, live: map[string]bool{}})
		}
	}
	var names []string
	observeAll := func() {
		at := wallUs()
		for _, e := range all {
			out = append(out, e.observe(at, names)...)
		}
	}
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-w.stop:
			observeAll()
			w.done <- out
			return
		case name := <-w.add:
			names = append(names, name)
			for _, e := range all {
				e.last = nil
			}
			observeAll()
		case <-t.C:
			observeAll()
		}
	}
}

// observe reads the node's current snapshot and returns what changed since the last call.
func (e *nodeWatcher) observe(at int64, names []string) (out []Observation) {
	if e.n.ended.Load() {
		return nil
	}
	cp := e.n.builder.Current()
	if cp == e.last || cp == nil {
		return nil
	}
	if e.last == nil || e.last.Config.ConfigVersion != cp.Config.ConfigVersion {
		out = append(out, Observation{AtUs: at, Node: e.n.name, Stamp: cp.Config.ConfigVersion})
	}
	e.last = cp
	for _, name := range names {
		is := slices.ContainsFunc(cp.Roster, func(m snapshot.Node) bool { return m.Name == name && m.Live })
		if was, known := e.live[name]; !known || was != is {
			out = append(out, Observation{AtUs: at, Node: e.n.name, About: name, Live: is})
		}
		e.live[name] = is
	}
	return out
}

// editTimeout is the time limit for an edit.
const editTimeout = 8 * time.Second

// edit submits a complete configuration through the first node, or begins resharding an index to a new shard map.
func (h *Hollow) edit(a HostRequest) HostResponse {
	n := h.nodes[0]
	e := wire.Edit{Op: "put", Strict: true, Body: a.Body}
	if a.Op == "cut" {
		var cut struct {
			Name   string
			Shards int
		}
		if err := json.Unmarshal(a.Body, &cut); err != nil {
			return HostResponse{Err: err.Error()}
		}
		e = wire.Edit{Partition: state.PartitionOf(a.Name), Op: "cut", Name: a.Name, Body: wire.Encode(&wire.ShardMap{Next: cut.Name, NextShards: cut.Shards})}
	} else if cp := n.builder.Current(); cp != nil {
		e.Base = cp.Config.ConfigVersion
	}
	ctx, cancel := context.WithTimeout(context.Background(), editTimeout)
	defer cancel()
	r := EditResult{SentUs: wallUs()}
	v, err := n.p.Call(ctx, "operate", operations.Submit{Edit: e})
	if err != nil {
		return HostResponse{Err: err.Error()}
	}
	reply := v.(operations.Result).Reply
	r.AtUs, r.Code, r.Stamp = wallUs(), string(reply.Code), reply.Version
	return HostResponse{Edited: &r}
}
