// Random walks beyond the bound of the exploration, and shrinking of failing schedules.

package model

import "math/rand/v2"

// weights are the relative probabilities of the kinds of actions. Progress is more likely than faults, so that a
// walk does not get stuck.
var weights = map[ActionKind]int{
	Deliver: 60, Sync: 60, Elapse: 14, Call: 10, Announce: 4, Thaw: 4, Lose: 2, Double: 2, Delay: 4, Crash: 2, CrashAlone: 1, LoseDisk: 1, Isolate: 2, Rejoin: 4, Hold: 2, Release: 4, Freeze: 2, Stop: 1,
}

// WalkReport is the outcome of a series of walks.
type WalkReport struct {
	Walks, Steps int
	// Seed is the seed of the failed walk.
	Seed    uint64
	Failure *Failure
}

// walkTo runs one random schedule up to the given length or the first violation.
func (x *Explorer) walkTo(seed uint64, length int) (*system, error) {
	rnd := rand.New(rand.NewPCG(seed, 0x6d6f64656c))
	s, err := x.initial()
	for err == nil && s.depth < length {
		actions := x.enabled(s)
		if len(actions) == 0 {
			break
		}
		s, err = x.apply(s, draw(rnd, actions))
	}
	return s, err
}

// draw picks a random action: first a kind by weight, then uniformly an action of that kind.
func draw(rnd *rand.Rand, actions []Action) Action {
	kinds := map[ActionKind][]Action{}
	total := 0
	for _, a := range actions {
		if kinds[a.Kind] == nil {
			total += weights[a.Kind]
		}
		kinds[a.Kind] = append(kinds[a.Kind], a)
	}
	n := rnd.IntN(total)
	for kind := Deliver; kind <= Release; kind++ {
		if of := kinds[kind]; of != nil {
			if n -= weights[kind]; n < 0 {
				return of[rnd.IntN(len(of))]
			}
		}
	}
	return actions[0]
}

// Walks runs random schedules of at most length actions, with consecutive seeds, until one of them fails or their
// number reaches walks. It shrinks the failing schedule.
func (c Config) Walks(first uint64, walks, length int) (WalkReport, error) {
	var r WalkReport
	var x *Explorer
	for i := range walks {
		// An explorer caches every process it has encountered: replacing it regularly bounds the memory.
		if i%walksPerExplorer == 0 {
			x = NewExplorer(c)
		}
		seed := first + uint64(i)
		s, err := x.walkTo(seed, length)
		if s == nil {
			return r, err
		}
		r.Walks++
		r.Steps += s.depth
		if err != nil {
			r.Seed, r.Failure = seed, x.Shrink(&Failure{Violation: err, Schedule: s.schedule()})
			return r, nil
		}
	}
	return r, nil
}

const walksPerExplorer = 50

// Shrink removes actions from a failing schedule as long as the remaining actions violate the same invariant.
func (x *Explorer) Shrink(f *Failure) *Failure {
	best := f
	for size := len(best.Schedule) / 2; size > 0; {
		smaller := x.without(best, size)
		if smaller != nil {
			best = smaller
			size = min(size, len(best.Schedule))
			continue
		}
		size /= 2
	}
	return best
}

// without looks for size consecutive actions whose removal leaves a shorter schedule that violates the same
// invariant. It returns the failure of the shorter schedule, nil if there is none.
func (x *Explorer) without(f *Failure, size int) *Failure {
	for from := 0; from+size <= len(f.Schedule); from += size {
		rest := append(append([]Action(nil), f.Schedule[:from]...), f.Schedule[from+size:]...)
		got, err := x.Replay(rest)
		if err == nil && got != nil && invariantOf(got.Violation) == invariantOf(f.Violation) && len(got.Schedule) < len(f.Schedule) {
			return got
		}
	}
	return nil
}
