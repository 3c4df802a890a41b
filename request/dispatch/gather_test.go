// Gathered answers, case by case.

package dispatch

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

func part(seal string, records ...string) Result {
	r := okay("")
	r.Seal = seal
	for _, v := range records {
		r.Body = append(r.Body, (v + "................")[:recordSize]...)
	}
	return r
}

func TestGatherTakesTheGreatestOfAllParts(t *testing.T) {
	f := fixed(4, 3)
	m := f.chart("gather")
	must.Len(t, 4, asks(m.Step(begun, Begin{})))
	m.Step(begun+1000, AttemptDone{N: 0, Result: part("s0", "b", "d")})
	m.Step(begun+1000, AttemptDone{N: 1, Result: part("s1", "a", "d")})
	m.Step(begun+1000, AttemptDone{N: 2, Result: part("s2")})
	o := finish(m.Step(begun+2000, AttemptDone{N: 3, Result: part("s3", "c")}))
	must.Eq(t, 200, o.Status)
	must.Eq(t, 0, o.Missing)
	must.Eq(t, []string{"s0", "s1", "s2", "s3"}, o.Seals)
	must.Eq(t, "d...............d...............c...............", string(o.Body))
	must.Nil(t, o.Response)
}

func TestGatherRefusesAtOnceWhenTooFewPoolsAreUp(t *testing.T) {
	f := fixed(4, 2)
	for _, id := range []string{"p1-0", "p1-1", "p2-0", "p2-1"} {
		f.backendOf(id).eject(begun)
	}
	acts := f.chart("gather").Step(begun, Begin{})
	must.SliceEmpty(t, asks(acts))
	must.Eq(t, 503, finish(acts).Status)
	must.Positive(t, finish(acts).RetryAfter)
}

func TestGatherAnswersWithoutAPoolThatIsDown(t *testing.T) {
	f := fixed(4, 2)
	f.backendOf("p1-0").eject(begun)
	f.backendOf("p1-1").eject(begun)
	m := f.chart("gather")
	must.Len(t, 3, asks(m.Step(begun, Begin{})))
	m.Step(begun+1000, AttemptDone{N: 0, Result: part("s0", "b")})
	m.Step(begun+1000, AttemptDone{N: 1, Result: part("s1", "a")})
	o := finish(m.Step(begun+2000, AttemptDone{N: 2, Result: part("s2", "c")}))
	must.Eq(t, 200, o.Status)
	must.Eq(t, 1, o.Missing)
}

func TestGatherAtTheAim(t *testing.T) {
	for _, priority := range []int32{1, 2} {
		f := fixed(4, 2)
		f.src.Routes[0].Priority = priority
		f.compile()
		m := f.chart("gather")
		m.Step(begun, Begin{})
		for n := range 3 {
			m.Step(begun+1000, AttemptDone{N: n, Result: part("s"+string(rune('0'+n)), "b")})
		}
		o := finish(m.Step(m.targetAt, TimerFired{}))
		if priority == 2 {
			must.Eq(t, 1, o.Missing, must.Sprint("with what has come"))
			continue
		}
		must.Nil(t, o, must.Sprint("the more important one waits on"))
		o = finish(m.Step(begun+300_000, AttemptDone{N: 3, Result: part("s3", "b")}))
		must.Eq(t, 0, o.Missing)
	}
}

func TestGatherNeverTakesOneSealTwiceOrAFailure(t *testing.T) {
	f := fixed(4, 2)
	f.poor()
	m := f.chart("gather")
	m.Step(begun, Begin{})
	for n := range 4 {
		r := part("same", "b")
		if n == 3 {
			r.Status, r.Seal = 500, "other"
		}
		if o := finish(m.Step(begun+1000, AttemptDone{N: n, Result: r})); o != nil {
			must.Eq(t, 502, o.Status)
			return
		}
	}
	must.Unreachable(t)
}

func TestGatherAsksTheSameSetAfterAChange(t *testing.T) {
	f := fixed(4, 2)
	f.rich()
	m := f.chart("gather")
	m.Step(begun, Begin{})
	f.src.Routes[0].FanoutPools = []string{"p1", "p2", "p3"}
	f.compile()
	must.SliceEmpty(t, asks(m.Step(begun+1000, AttemptDone{N: 0, Result: Result{Class: ClassFailed}})), must.Sprint("p0 is asked no more"))
	must.Len(t, 1, asks(m.Step(begun+1000, AttemptDone{N: 1, Result: Result{Class: ClassFailed}})))
	m.Step(begun+1000, AttemptDone{N: 2, Result: part("s2", "b")})
	m.Step(begun+1000, AttemptDone{N: 3, Result: part("s3", "b")})
	o := finish(m.Step(begun+2000, AttemptDone{N: 4, Result: part("s1", "b")}))
	must.Eq(t, 200, o.Status)
	must.Eq(t, 1, o.Missing, must.Sprint("of the version that it began with"))
}

func TestMergeAgainstASort(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	for round := range 500 {
		var parts [][]byte
		var all [][]byte
		for range r.IntN(6) {
			p := make([]byte, r.IntN(200))
			for i := range p {
				p[i] = byte(r.IntN(3)) * 127
			}
			parts = append(parts, p)
			for ; len(p) >= recordSize; p = p[recordSize:] {
				all = append(all, p[:recordSize])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		limit := r.IntN(25)
		must.Eq(t, bytes.Join(all[:min(limit, len(all))], nil), merge(parts, limit), must.Sprintf("round %d", round))
	}
}

func TestPartThatIsInIsNotAskedForAgain(t *testing.T) {
	f := fixed(4, 3)
	f.rich()
	m := f.chart("gather")
	m.Step(begun, Begin{})
	early := asks(m.Step(m.shards[0].hedgeAt, TimerFired{}))
	must.SliceNotEmpty(t, early)
	m.Step(begun+40_000, AttemptDone{N: 0, Result: part("s0", "b")})
	var second int
	for _, a := range early {
		if a.Pool.Name == "p0" {
			second = a.N
		}
	}
	must.Positive(t, second)
	must.SliceEmpty(t, asks(m.Step(begun+41_000, AttemptDone{N: second, Result: Result{Class: ClassFailed}})))
	m.Step(begun+41_000, AttemptDone{N: 1, Result: part("s1", "a")})
	m.Step(begun+41_000, AttemptDone{N: 2, Result: part("s2", "a")})
	must.Eq(t, 0, finish(m.Step(begun+42_000, AttemptDone{N: 3, Result: part("s3", "a")})).Missing)
}
