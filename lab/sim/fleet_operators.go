// Simulated operators. They send complete configurations and row edits, one at a time, concurrently or in quick
// succession, including invalid edits and retries, and they drain zones and switch shard maps. Each configuration
// has a slow-start time (ramp_us) that is one microsecond longer than that of the configuration before it. This
// mark identifies the configuration wherever it is in force.

package sim

import (
	"encoding/json"
	"fmt"

	"wallport/api/configpb"
	"wallport/control/config"
	"wallport/control/operations"
	"wallport/control/state"
	"wallport/lab/check"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

const markBase = slowStartUs

type operators struct {
	sim      *Simulation
	mark     int64
	bookings map[string]booking
	// capacity and ceilings are the limits in every configuration that is sent from now on.
	capacity int64
	ceilings map[string]float64
	// zoneCalls and shardMapCalls count the calls for each zone and index; a call is no longer repeated once a later
	// call for the same zone or index has been made.
	zoneCalls     map[string]int
	shardMapCalls map[string]int
}

func (o *operators) init(sim *Simulation) {
	o.sim, o.mark, o.bookings, o.zoneCalls = sim, markBase, map[string]booking{}, map[string]int{}
	o.capacity, o.shardMapCalls = sim.Script.Int("capacity", 2000), map[string]int{}
}

// pickNode picks a random running node that is not draining, for an operator's call; nil if there is none.
func (o *operators) pickNode() *process {
	var up []*process
	for _, name := range o.sim.names {
		if p := o.sim.processes[name]; p.role == roleNode && p.running() && !p.draining {
			up = append(up, p)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[o.sim.rng.IntN(len(up))]
}

// buildConfig returns the shape's configuration with the given mark and the bookings of the configuration that it
// is based on.
func (o *operators) buildConfig(mark int64, base *configpb.Sheet) []byte {
	var s map[string]any
	if json.Unmarshal(o.sim.Shape.Config(), &s) != nil {
		return nil
	}
	row := s["services"].([]any)[0].(map[string]any)
	row["ramp_us"] = mark
	row["capacity"] = o.capacity
	for _, v := range s["rows"].([]any) {
		if c := o.ceilings[v.(map[string]any)["kind"].(string)]; c > 0 {
			v.(map[string]any)["ceiling"] = c
		}
	}
	o.sim.addOtherConfig(s)
	if base != nil {
		var previous map[string]any
		if json.Unmarshal(config.JSON(base), &previous) == nil {
			s["bookings"] = previous["bookings"]
		}
	}
	b, _ := json.Marshal(s)
	return b
}

// putInitial sends the first configuration and the first shard maps as soon as a node has a snapshot of the control
// state, and repeats the configuration until it is accepted.
func (o *operators) putInitial() {
	o.sim.after(100*clock.Millisecond, func() {
		p := o.pickNode()
		if p == nil || p.snapshots.Current() == nil || p.snapshots.Current().Version.Term == 0 {
			o.putInitial()
			return
		}
		o.put(p, configReading{}, "first", 0, func(code wire.Code) {
			if code != wire.CodeOK && code != wire.CodeLostRace {
				o.putInitial()
				return
			}
			// CodeLostRace also counts as success: an earlier attempt whose outcome was unknown may have been
			// accepted, and then a later attempt gets this code.
			o.setShardMap(o.sim.Shape.Index, "c1", o.sim.Shape.Shards)
			if other := o.sim.otherIndex(); other != "" {
				o.setShardMap(other, otherShardMap, o.sim.Shape.Shards)
			}
		})
	})
}

// put sends a configuration edit based on a version, through a node: a complete configuration, or one row (kind
// "rows"), or an invalid configuration (kind "invalid"), which must be rejected. A mark of 0 selects the next one.
// done may be nil.
func (o *operators) put(p *process, base configReading, kind string, mark int64, done func(code wire.Code)) {
	sim := o.sim
	if p == nil {
		return
	}
	if mark == 0 {
		o.mark++
		mark = o.mark
	}
	e := wire.Edit{Op: "put", Strict: true, Base: base.version, Body: o.buildConfig(mark, base.config), EditID: fmt.Sprintf("edit-%d", mark)}
	switch kind {
	case "invalid":
		e.Body = []byte(fmt.Sprintf(`{"services":[{"index":"%s","ramp_us":%d}],"rows":[{"index":"x","share":-1}]}`, sim.Shape.Index, mark))
	case "rows":
		e.Op = "rows"
		var s struct{ Services []json.RawMessage }
		if json.Unmarshal(e.Body, &s) != nil {
			return
		}
		e.Body, _ = json.Marshal([]map[string]any{{"op": "set", "table": "services", "row": s.Services[0]}})
	}
	t := check.Edit{Mark: mark, Base: base.version, Began: sim.now, Ended: 1 << 62, Code: check.CodeOpen, EditID: e.EditID, Invalid: kind == "invalid"}
	sim.Checker.EditBegan(t)
	p.deliver(func() {
		p.call("operate", operations.Submit{Edit: e}, func(v any) {
			r := v.(operations.Result).Reply
			t.Ended, t.Code, t.Version = sim.now, r.Code, r.Version
			sim.logEvent(fmt.Sprintf("edit %d %s %v", mark, r.Code, r.Version))
			sim.Checker.EditEnded(t)
			sim.Checker.Count("edits."+string(r.Code), 1)
			if done != nil {
				done(r.Code)
			}
		})
	})
}

// configReading is the configuration, with its version, that an operator has read from a node.
type configReading struct {
	version wire.Version
	config  *configpb.Sheet
}

func (o *operators) current() configReading {
	p := o.pickNode()
	if p == nil || p.snapshots.Current() == nil {
		return configReading{}
	}
	cp := p.snapshots.Current()
	return configReading{cp.Config.ConfigVersion, cp.Configuration}
}

// race sends n edits based on one version, through random nodes and within 60 ms.
func (o *operators) race(n int, kind string) {
	base := o.current()
	for range n {
		o.sim.after(o.sim.rng.Int64N(60*clock.Millisecond), func() { o.put(o.pickNode(), base, kind, 0, nil) })
	}
}

// storm sends n edits at a fixed interval, each based on the configuration that is in force when it is sent. Every
// fourth edit is invalid.
func (o *operators) storm(n int, every clock.Micros) {
	for i := range n {
		o.sim.after(int64(i)*every, func() {
			kind := []string{"put", "rows", "put", "invalid"}[i%4]
			o.put(o.pickNode(), o.current(), kind, 0, nil)
		})
	}
}

// sendTwice sends one edit twice under the same id, like an operator who did not get the answer.
func (o *operators) sendTwice() {
	base := o.current()
	o.mark++
	mark := o.mark
	o.put(o.pickNode(), base, "put", mark, nil)
	o.sim.after(200*clock.Millisecond, func() { o.put(o.pickNode(), base, "put", mark, nil) })
}

// sendUntil sends an edit through one random node after another until ended returns true for an answer, like an
// operator who gets no answer or a temporary rejection.
func (o *operators) sendUntil(make func() wire.Edit, ended func(code wire.Code) bool) {
	sim := o.sim
	p := o.pickNode()
	answered := false
	retry := func(d clock.Micros) { sim.after(d, func() { o.sendUntil(make, ended) }) }
	if p == nil {
		retry(200 * clock.Millisecond)
		return
	}
	p.deliver(func() {
		p.call("operate", operations.Submit{Edit: make()}, func(v any) {
			if answered {
				return
			}
			answered = true
			if code := v.(operations.Result).Reply.Code; !ended(code) {
				retry(100 * clock.Millisecond)
			}
		})
	})
	sim.after(operatorTimeout, func() {
		if !answered {
			answered = true
			o.sendUntil(make, ended)
		}
	})
}

// operatorTimeout is how long an operator waits for a node's answer before sending the edit through another node.
const operatorTimeout = 1500 * clock.Millisecond

func (o *operators) setZone(action, zone string) {
	sim := o.sim
	if action == "empty" {
		sim.Checker.ZoneDrained(zone, sim.now)
	} else {
		sim.Checker.ZoneDrained(zone, -1)
	}
	o.zoneCalls[zone]++
	mine := o.zoneCalls[zone]
	e := wire.Edit{Op: action, Name: zone}
	o.sendUntil(func() wire.Edit { return e }, func(code wire.Code) bool {
		sim.logEvent("zone " + action + " " + zone + " " + string(code))
		sim.Checker.Count("zones."+string(code), 1)
		// A later call for the zone replaces this one.
		return code == wire.CodeOK || o.zoneCalls[zone] != mine
	})
}

func (o *operators) setShardMap(index, name string, shards int) {
	sim := o.sim
	sim.shardMaps[name] = shards
	o.shardMapCalls[index]++
	mine := o.shardMapCalls[index]
	e := wire.Edit{Partition: state.PartitionOf(index), Op: "cut", Name: index, Body: wire.Encode(&wire.ShardMap{Next: name, NextShards: shards})}
	o.sendUntil(func() wire.Edit { return e }, func(code wire.Code) bool {
		sim.logEvent("cut " + name + " " + string(code))
		sim.Checker.Count("cuts."+string(code), 1)
		return code == wire.CodeOK || o.shardMapCalls[index] != mine
	})
}
