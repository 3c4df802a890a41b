// Simulated operators: whole sheets and row edits, single, racing, in storms,
// refused ones and retries; zones and cuts. Each sheet carries a mark of its
// own in the ramp, a few microseconds longer than the last, by which it is known again wherever it is seen.

package sim

import (
	"encoding/json"
	"fmt"

	"wallport/api/configpb"
	"wallport/control/config"
	"wallport/control/operations"
	"wallport/control/state"
	"wallport/lab/check"
	"wallport/runtime/wire"
)

const markBase = rampUs

type operators struct {
	w      *World
	mark   int64
	booked map[string]booking
	// What the sheet says of limits from the next put on.
	capacity int64
	ceilings map[string]float64
	// Calls are counted so that a later one for the same thing ends the asking for an earlier one.
	zoneCall map[string]int
	cutCall  map[string]int
}

func (o *operators) init(w *World) {
	o.w, o.mark, o.booked, o.zoneCall = w, markBase, map[string]booking{}, map[string]int{}
	o.capacity, o.cutCall = w.Script.Int("capacity", 2000), map[string]int{}
}

// via picks a node for an operator's call; nil if none is up.
func (o *operators) via() *proc {
	var up []*proc
	for _, name := range o.w.names {
		if p := o.w.procs[name]; p.role == "node" && p.runs() && !p.drains {
			up = append(up, p)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[o.w.rnd.IntN(len(up))]
}

// sheet is the shape's sheet under a new mark, with the bookings of the one it is based on.
func (o *operators) sheet(mark int64, on *configpb.Sheet) []byte {
	var s map[string]any
	if json.Unmarshal(o.w.Shape.Sheet(), &s) != nil {
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
	o.w.sheetOther(s)
	if on != nil {
		var was map[string]any
		if json.Unmarshal(config.JSON(on), &was) == nil {
			s["bookings"] = was["bookings"]
		}
	}
	b, _ := json.Marshal(s)
	return b
}

// first puts the first sheet and cut, as soon as someone takes them.
func (o *operators) first() {
	o.w.after(100_000, func() {
		p := o.via()
		if p == nil || p.table.Current() == nil || p.table.Current().Version.Term == 0 {
			o.first()
			return
		}
		o.put(p, reading{}, "first", 0, func(code string) {
			if code != "ok" && code != "lost_race" {
				o.first()
				return
			}
			// One whose outcome was unknown may have been taken: then a later one loses to it.
			o.cut(o.w.Shape.Index, "c1", o.w.Shape.Shards)
			if other := o.w.other(); other != "" {
				o.cut(other, otherCut, o.w.Shape.Shards)
			}
		})
	})
}

// put sends a whole sheet based on a stamp; spoiled ones must be refused.
func (o *operators) put(p *proc, on reading, kind string, mark int64, done func(code string)) {
	w := o.w
	if p == nil {
		return
	}
	if mark == 0 {
		o.mark++
		mark = o.mark
	}
	e := wire.Edit{Op: "put", Strict: true, Base: on.stamp, Body: o.sheet(mark, on.sheet), EditID: fmt.Sprintf("edit-%d", mark)}
	switch kind {
	case "invalid":
		e.Body = []byte(fmt.Sprintf(`{"services":[{"index":"%s","ramp_us":%d}],"rows":[{"index":"x","share":-1}]}`, w.Shape.Index, mark))
	case "rows":
		e.Op = "rows"
		var s struct{ Services []json.RawMessage }
		if json.Unmarshal(e.Body, &s) != nil {
			return
		}
		e.Body, _ = json.Marshal([]map[string]any{{"op": "set", "table": "services", "row": s.Services[0]}})
	}
	t := check.Try{Mark: mark, Base: on.stamp, Began: w.now, Ended: 1 << 62, Code: "open", EditID: e.EditID, Invalid: kind == "invalid"}
	w.Judge.Tried(t)
	p.feed(func() {
		p.call("operate", operations.Submit{Edit: e}, func(v any) {
			r := v.(operations.Result).Reply
			t.Ended, t.Code, t.Stamp = w.now, r.Code, r.Version
			w.note(fmt.Sprintf("edit %d %s %v", mark, r.Code, r.Version))
			w.Judge.Retried(t)
			w.Judge.Count("edits."+r.Code, 1)
			if done != nil {
				done(r.Code)
			}
		})
	})
}

// reading is a sheet as an operator read it from some node.
type reading struct {
	stamp wire.Version
	sheet *configpb.Sheet
}

func (o *operators) now() reading {
	p := o.via()
	if p == nil || p.table.Current() == nil {
		return reading{}
	}
	cp := p.table.Current()
	return reading{cp.Config.ConfigVersion, cp.Configuration}
}

// race sends n edits based on one stamp through different nodes at about one time.
func (o *operators) race(n int, kind string) {
	base := o.now()
	for range n {
		o.w.after(o.w.rnd.Int64N(60_000), func() { o.put(o.via(), base, kind, 0, nil) })
	}
}

// storm sends edits one after another, each based on what is in force then.
func (o *operators) storm(n int, every int64) {
	for i := range n {
		o.w.after(int64(i)*every, func() {
			kind := []string{"put", "rows", "put", "invalid"}[i%4]
			o.put(o.via(), o.now(), kind, 0, nil)
		})
	}
}

// retried sends one edit twice under one id, as an operator whose answer was lost.
func (o *operators) retried() {
	base := o.now()
	o.mark++
	mark := o.mark
	o.put(o.via(), base, "put", mark, nil)
	o.w.after(200_000, func() { o.put(o.via(), base, "put", mark, nil) })
}

// insist sends an edit through one node after another, as an operator does who
// gets no answer or a refusal that may pass, until ended says that it is done with.
func (o *operators) insist(make func() wire.Edit, ended func(code string) bool) {
	w := o.w
	p := o.via()
	answered := false
	again := func(d int64) { w.after(d, func() { o.insist(make, ended) }) }
	if p == nil {
		again(200_000)
		return
	}
	p.feed(func() {
		p.call("operate", operations.Submit{Edit: make()}, func(v any) {
			if answered {
				return
			}
			answered = true
			if code := v.(operations.Result).Reply.Code; !ended(code) {
				again(100_000)
			}
		})
	})
	w.after(patience, func() {
		if !answered {
			answered = true
			o.insist(make, ended)
		}
	})
}

// patience is how long an operator waits for a node's answer before asking another.
const patience = 1_500_000

func (o *operators) zone(action, zone string) {
	w := o.w
	if action == "empty" {
		w.Judge.Empties(zone, w.now)
	} else {
		w.Judge.Empties(zone, -1)
	}
	o.zoneCall[zone]++
	mine := o.zoneCall[zone]
	e := wire.Edit{Op: action, Name: zone}
	o.insist(func() wire.Edit { return e }, func(code string) bool {
		w.note("zone " + action + " " + zone + " " + code)
		w.Judge.Count("zones."+code, 1)
		// A later call for the zone takes the place of this one.
		return code == "ok" || o.zoneCall[zone] != mine
	})
}

func (o *operators) cut(index, name string, shards int) {
	w := o.w
	w.cuts[name] = shards
	o.cutCall[index]++
	mine := o.cutCall[index]
	e := wire.Edit{Partition: state.PartitionOf(index), Op: "cut", Name: index, Body: wire.Encode(&wire.ShardMap{Next: name, NextShards: shards})}
	o.insist(func() wire.Edit { return e }, func(code string) bool {
		w.note("cut " + name + " " + code)
		w.Judge.Count("cuts."+code, 1)
		return code == "ok" || o.cutCall[index] != mine
	})
}
