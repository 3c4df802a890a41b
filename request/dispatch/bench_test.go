// Benchmarks of a request on a node, without HTTP.

package dispatch

import (
	"fmt"
	"testing"

	"wallport/runtime/clock"
)

func BenchmarkGathered(b *testing.B) {
	for _, n := range []int{4, 18, 140} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFixture(n, 8)
			body := make([]byte, 640)
			for i := range body {
				body[i] = byte(i * 37)
			}
			replies := make([]Result, n)
			for i := range replies {
				replies[i] = success("")
				replies[i].Seal, replies[i].Body = fmt.Sprintf("3e1b.07.5a2.600.0.c9f2a4%02d", i), body
				replies[i].Load = LoadReport{Running: 1, Queued: 0, Slots: 2, Known: true}
			}
			now := clock.Micros(startTime)
			b.ReportAllocs()
			for b.Loop() {
				now += 1000
				m := NewStateMachine(f.Dispatcher, Request{ID: "r", Path: "/gather/x", Host: "site.example:80"}, now)
				m.Step(now, Begin{})
				for i := range replies {
					m.Step(now+500, AttemptDone{N: i, Result: replies[i]})
				}
				if !m.Done() {
					b.Fatal("the request has not finished after the responses of all shards")
				}
			}
		})
	}
}

func BenchmarkSingle(b *testing.B) {
	f := newFixture(1, 19)
	r := success("body")
	now := clock.Micros(startTime)
	b.ReportAllocs()
	for b.Loop() {
		now += 1000
		m := NewStateMachine(f.Dispatcher, Request{ID: "r", Path: "/once/x", Host: "site.example:80"}, now)
		m.Step(now, Begin{})
		m.Step(now+500, AttemptDone{N: 0, Result: r})
	}
}

func BenchmarkView(b *testing.B) {
	f := newFixture(18, 8)
	b.ReportAllocs()
	for b.Loop() {
		f.buildView(f.snap)
	}
}
