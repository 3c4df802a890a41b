// Tests that no rule is reported as broken on a small valid journal, and that each rule is reported as broken on a
// journal that breaks it.

package rules

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/api/routingpb"
	"wallport/runtime/clock"
)

const second = int64(clock.Second)

func table(rev int64, pool string, more ...*routingpb.Route) *routingpb.RoutingTable {
	t := &routingpb.RoutingTable{Revision: rev, Routes: []*routingpb.Route{
		{Name: "one", Host: "h", Prefix: "/one/", Pool: pool},
		{Name: "all", Host: "h", Prefix: "/all/", FanoutPools: []string{"s0", "s1"}, ResultLimit: 2, MinCoverage: 0.75},
	}}
	t.Routes = append(t.Routes, more...)
	return t
}

func version(rev, base, sent int64, t *routingpb.RoutingTable) *Version {
	return &Version{Revision: rev, Base: base, Table: t, Sent: sent, Acked: sent + 1000, Refused: Never, Uncontested: true}
}

func backend(id, pool string) *Backend {
	return &Backend{ID: id, Pool: pool, Zone: "z", Ended: Never, DrainingSince: Never}
}

// validJournal returns a journal that breaks no rule: two versions, one request to the pool of each version, a fanout
// request and a read-back.
func validJournal() *Journal {
	j := &Journal{
		Bounds: Bounds{
			ContactUs: 4 * second, AckUs: 5 * second, DrainUs: 3 * second, LossUs: 200 * clock.Millisecond, ApplyUs: 3 * second, StretchUs: 12 * second,
			EvacuateUs: 5 * second, RecoverUs: 12 * second, RetryRatio: 0.2, RetryAllowance: 2, RetryWindowUs: 10 * second, SlowStartOverrun: 1.5, SlowStartTolerance: 5,
		},
		Versions: []*Version{version(1, 0, 1, table(1, "p")), version(3, 1, 20*second, table(3, "q"))},
		Backends: []*Backend{backend("bp", "p"), backend("bq", "q"), backend("b0", "s0"), backend("b1", "s1")},
		End:      60 * second,
	}
	j.ReadBack = []Reading{{RequestedAt: 59 * second, At: 59 * second, Table: table(3, "q")}}
	j.addRequest("t1", 10*second, 0)
	j.addRequest("t2", 30*second, 1)
	attempt := &Attempt{
		ID: "t3", Machine: "m", Host: "h", Path: "/all/x", Target: "/all/x", Method: "GET", Repeatable: true, Sent: 31 * second, Read: 31 * second, Ended: 31*second + 9000,
		Status: 200, Seals: []string{"s-b0", "s-b1"}, Answer: []byte("ccccccccccccccccbbbbbbbbbbbbbbbb"),
	}
	j.Attempts = append(j.Attempts, attempt)
	j.addArrival(attempt, 2, "s-b0", []byte("aaaaaaaaaaaaaaaaccccccccccccccccrest"))
	j.addArrival(attempt, 3, "s-b1", []byte("bbbbbbbbbbbbbbbb"))
	for i := range int64(100) {
		rev := int64(1)
		if i > 41 {
			rev = 3
		}
		j.InForce = append(j.InForce, InForce{"m", 1, second + i*second/2, rev})
	}
	return j
}

// addRequest adds a request that is not repeatable and ran on the backend with index b.
func (j *Journal) addRequest(id string, at clock.Micros, b int) *Attempt {
	attempt := &Attempt{
		ID: id, Machine: "m", Host: "h", Path: "/one/x", Target: "/one/x?q", Method: "POST", Body: []byte("body"), Sent: at, Read: at + 3000, Ended: at + 9000,
		Status: 200, Seal: "seal-" + id, Answer: []byte("answer"),
	}
	j.Attempts = append(j.Attempts, attempt)
	j.addArrival(attempt, b, attempt.Seal, attempt.Answer)
	return attempt
}

func (j *Journal) addArrival(attempt *Attempt, b int, seal string, answer []byte) *Arrival {
	a := &Arrival{
		Attempt: attempt.ID, Backend: j.Backends[b], Machine: attempt.Machine, Method: attempt.Method, Target: attempt.Target, Body: attempt.Body, Sent: attempt.Sent + 4000, At: attempt.Sent + 5000,
		Ran: true, Status: 200, Seal: seal, Answer: answer,
	}
	j.Arrivals = append(j.Arrivals, a)
	return a
}

func TestValidJournalBreaksNoRule(t *testing.T) {
	j := validJournal()
	j.Check()
	must.Eq(t, nil, j.Findings)
	for _, rule := range []string{Mixed, Unasked, Twice, Lost, Config, Route, Acks} {
		must.Positive(t, j.Tested[rule], must.Sprint(rule))
	}
}

// nameShardTwice changes all versions so that they name a shard of the route that fans out twice.
func nameShardTwice(j *Journal) {
	for _, version := range j.Versions {
		version.Table.Routes[1].FanoutPools = []string{"s0", "s1", "s0"}
	}
}

func TestShardNamedTwiceIsOneShard(t *testing.T) {
	j := validJournal()
	nameShardTwice(j)
	j.ReadBack[0].Table = j.Versions[1].Table
	j.Check()
	must.Eq(t, nil, j.Findings)
}

func TestBrokenRulesAreFound(t *testing.T) {
	last := func(j *Journal) *Attempt { return j.Attempts[2] }
	for _, c := range []struct {
		rule, name string
		broken     func(j *Journal)
	}{
		{Mixed, "no seal", func(j *Journal) { j.Attempts[0].Seal = "" }},
		{Mixed, "the response to another attempt", func(j *Journal) { j.Attempts[0].Seal = "seal-t2" }},
		{Mixed, "a changed body", func(j *Journal) { j.Attempts[0].Answer = []byte("answe") }},
		{Mixed, "a failure turned into a success", func(j *Journal) { j.Arrivals[0].Status = 500 }},
		{Mixed, "records out of order", func(j *Journal) { last(j).Answer = []byte("bbbbbbbbbbbbbbbbcccccccccccccccc") }},
		{Mixed, "more records than the limit", func(j *Journal) { last(j).Answer = append(last(j).Answer, "aaaaaaaaaaaaaaaa"...) }},
		{Mixed, "a part twice", func(j *Journal) { last(j).Seals = []string{"s-b0", "s-b0"} }},
		{Mixed, "a failure as a part", func(j *Journal) { j.Arrivals[3].Status = 500 }},
		{Mixed, "shards of no version", func(j *Journal) { last(j).Missing = 1 }},
		{Mixed, "a shard that is named twice counted as a missing one", func(j *Journal) {
			nameShardTwice(j)
			last(j).Missing = 1
		}},
		{Mixed, "too few parts", func(j *Journal) {
			last(j).Seals, last(j).Missing, last(j).Answer = []string{"s-b1"}, 1, []byte("bbbbbbbbbbbbbbbb")
		}},
		{Unasked, "an id that no client sent", func(j *Journal) { j.Arrivals[0].Attempt = "t9" }},
		{Unasked, "a changed target", func(j *Journal) { j.Arrivals[0].Target = "/one/x" }},
		{Unasked, "a changed body", func(j *Journal) { j.Arrivals[0].Body = nil }},
		{Twice, "a second run", func(j *Journal) { j.addArrival(j.Attempts[0], 0, "again", nil) }},
		{Refused, "a request that ran answered with 503", func(j *Journal) { j.Attempts[0].Status, j.Attempts[0].Seal = 503, "" }},
		{Denied, "requests with a route denied", func(j *Journal) {
			for i := range 6 {
				v := j.addRequest(fmt.Sprint("d", i), 40*second, 1)
				v.Status, v.Generated = 403, true
			}
		}},
		{Route, "a pool that no version names", func(j *Journal) { j.Arrivals[0].Backend = backend("bx", "x") }},
		{Drain, "a request to a draining backend", func(j *Journal) { j.Backends[0].DrainingSince = 6 * second }},
		{Lost, "a response that never arrived", func(j *Journal) {
			j.Attempts[0].Status, j.Attempts[0].Seal, j.Attempts[0].Aborted = 0, "", true
		}},
		{Config, "an older version used after the bound", func(j *Journal) { j.addRequest("t9", 24*second, 0) }},
		{Config, "a 404 for an existing route", func(j *Journal) {
			v := j.addRequest("t9", 40*second, 1)
			v.Status, v.Generated, j.Arrivals = 404, true, j.Arrivals[:len(j.Arrivals)-1]
		}},
		{Config, "a refused version in force", func(j *Journal) {
			ver := version(4, 3, 35*second, table(4, "p"))
			ver.Refused, ver.Acked, ver.Uncontested = 36*second, Never, false
			j.Versions = append(j.Versions, ver)
			j.InForce = append(j.InForce, InForce{"m", 1, 52 * second, 4})
		}},
		{Config, "a node goes back to an older version", func(j *Journal) { j.InForce = append(j.InForce, InForce{"m", 1, 52 * second, 1}) }},
		{Config, "a version in force too late", func(j *Journal) {
			j.InForce = j.InForce[:42]
			j.InForce = append(j.InForce, InForce{"m", 1, 24 * second, 1})
		}},
		{Config, "both changes based on one version acknowledged", func(j *Journal) { j.Versions = append(j.Versions, version(5, 1, 21*second, table(5, "p"))) }},
		{Config, "an invalid version acknowledged", func(j *Journal) { j.Versions[1].Invalid = true }},
		{Config, "an older version read back", func(j *Journal) { j.ReadBack[0].Table = table(1, "p") }},
		{Config, "different content read back", func(j *Journal) { j.ReadBack[0].Table = table(3, "p") }},
		{Config, "nothing read back", func(j *Journal) { j.ReadBack = nil }},
		{Lost, "an older version read back after the closing fault", func(j *Journal) {
			j.FinalFault = &FinalFault{At: 25 * second, Back: 26 * second}
			j.ReadBack[0].Table = table(1, "p")
		}},
		{Lost, "an evacuation forgotten after the closing fault", func(j *Journal) {
			j.FinalFault = &FinalFault{At: 25 * second, Back: 26 * second}
			j.Evacuations = []*Evacuation{{Zone: "z9", Sent: 1, Acked: 2, RestoreSent: Never, RestoreAcked: Never}}
			j.Drained = map[string][]string{"m": nil}
		}},
		{Acks, "no acknowledgement in a settled core", func(j *Journal) {
			j.Versions[1].Acked = Never
			j.InForce, j.Attempts, j.Arrivals = nil, nil, nil
		}},
		{Acks, "a change based on the newest version refused", func(j *Journal) {
			ver := version(4, 3, 35*second, table(4, "p"))
			ver.Refused, ver.Acked = 36*second, Never
			j.Versions = append(j.Versions, ver)
		}},
		{Budget, "too many extra arrivals", func(j *Journal) {
			for i := range 5 {
				j.addArrival(last(j), 2, fmt.Sprint("extra-", i), nil)
			}
		}},
		{Failback, "a backend in slow start overloaded", func(j *Journal) {
			b := j.Backends[2]
			b.SlowStartPerS, b.SlowStart = 2, Spans{{30 * second, 33 * second}}
			for i := range 8 {
				j.addArrival(last(j), 2, fmt.Sprint("extra-", i), nil)
			}
		}},
		{Evac, "a request to an evacuated zone", func(j *Journal) {
			j.Evacuations = []*Evacuation{{Zone: "z", Sent: second, Acked: 2 * second, RestoreSent: Never, RestoreAcked: Never}}
		}},
		{Recover, "little served after the closing fault", func(j *Journal) {
			j.FinalFault = &FinalFault{At: 32 * second, Back: 33 * second}
			for i := range 4 {
				v := j.addRequest(fmt.Sprint("r", i), 50*second, 1)
				v.Status, v.Seal = 0, ""
			}
		}},
	} {
		t.Run(c.rule+"/"+c.name, func(t *testing.T) {
			j := validJournal()
			c.broken(j)
			j.Check()
			must.Positive(t, j.Broken[c.rule], must.Sprint(j.Findings))
		})
	}
}

func TestFaultsExcuseViolations(t *testing.T) {
	j := validJournal()
	j.addRequest("t9", 24*second, 0)
	j.Faults.Of("m").Open(18 * second)
	j.Faults.Of("m").Close(22 * second)
	j.Check()
	must.Eq(t, nil, j.Findings, must.Sprint("CONFIG must not apply to a machine that was not in contact with the core"))

	j = validJournal()
	j.addRequest("t9", 24*second, 0)
	j.Faults.Unsettled.Instant(22 * second)
	j.Check()
	must.Eq(t, nil, j.Findings, must.Sprint("the bound must be longer while the core is unsettled"))

	j = validJournal()
	j.addRequest("t9", 39*second, 0)
	j.Faults.Unsettled.Instant(36 * second)
	j.Check()
	must.Eq(t, 1, j.Broken[Config], must.Sprint("an unsettled core must not excuse more than the longer bound"))
}

func TestSpans(t *testing.T) {
	var s Spans
	s.Open(10)
	s.Open(11)
	s.Close(20)
	s.Instant(30)
	must.True(t, s.Overlaps(0, 10))
	must.True(t, s.Overlaps(15, 16))
	must.True(t, s.Overlaps(20, 29))
	must.False(t, s.Overlaps(21, 29))
	must.True(t, s.Overlaps(30, 30))
	must.False(t, s.Overlaps(31, 99))
}
