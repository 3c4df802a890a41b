// Replica processes as immutable values. A process is identified by its history of inputs since its start;
// histories that lead to the same fingerprint, pending writes and timers are merged into one process. The effect
// of an input on a process is computed once, by the product's own code, and cached. This is sound because
// processes are deterministic and share nothing; a state of the whole system is a tuple of processes.

package model

import (
	"cmp"
	"fmt"
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// pendingWrite is a file write that a process requested and that has not been synced.
type pendingWrite struct {
	key, file string
	data      []byte
	// cause is the digest of the input that requested the write, including its time.
	cause digest
}

type timer struct {
	at          clock.Micros
	plugin, key string
}

// process is one state of one replica.
type process struct {
	id      int32
	replica int
	// incarnation counts the replica's starts. It is part of the random seed, so that random numbers differ between
	// incarnations.
	incarnation int
	parent      *process
	at          clock.Micros
	input       kernel.Input
	files       map[string][]byte
	writes      []pendingWrite
	timers      []timer
	committed   wire.Version
	// body is the body of the committed version.
	body []byte
}

// effects holds the process that results from a step, and the sends and file deletions that the step requested.
type effects struct {
	next  *process
	sends []kernel.Send
	// removes lists files to delete. Deletions take effect immediately, as no process waits for them.
	removes []string
}

type stepKey struct {
	process int32
	at      clock.Micros
	input   digest
}

// runtime runs processes and caches the effects of their steps.
type runtime struct {
	byState    map[digest]*process
	steps      map[stepKey]*effects
	starts     map[digest]*effects
	cached     map[int32]*kernel.Kernel
	cacheOrder []int32
	// Steps counts the steps run on the product's code, Replayed the steps run again to rebuild a process.
	Steps, Replayed int
	// merged, if set, is called for each pair of histories that were merged into one process.
	merged func(known, other *process)
}

// maxCachedKernels is the maximum number of kernels that are kept for the next steps of their processes.
const maxCachedKernels = 512

func newRuntime() *runtime {
	return &runtime{
		byState: map[digest]*process{}, steps: map[stepKey]*effects{}, starts: map[digest]*effects{}, cached: map[int32]*kernel.Kernel{},
	}
}

// start boots a replica with the files of its disk.
func (r *runtime) start(replica, incarnation int, at clock.Micros, files map[string][]byte) *effects {
	key := digestOf(append(filesBytes(files), fmt.Sprint(replica, incarnation, at)...))
	if e := r.starts[key]; e != nil {
		return e
	}
	p := &process{replica: replica, incarnation: incarnation, at: at, input: kernel.Start{}, files: files}
	k := bootKernel(replica, files)
	e := r.run(p, k, nil)
	r.starts[key] = e
	return e
}

// step applies one input to a process and returns the effects, from the cache if they are known.
func (r *runtime) step(p *process, at clock.Micros, input kernel.Input) *effects {
	key := stepKey{p.id, at, inputDigest(input)}
	if e := r.steps[key]; e != nil {
		return e
	}
	k := r.kernelFor(p)
	next := &process{replica: p.replica, incarnation: p.incarnation, parent: p, at: at, input: input, writes: p.writes, timers: p.timers}
	e := r.run(next, k, p)
	r.steps[key] = e
	return e
}

// kernelFor returns the kernel of a process and removes it from the cache. A kernel that is not cached is rebuilt by
// replaying the process's inputs from its start.
func (r *runtime) kernelFor(p *process) *kernel.Kernel {
	if k := r.cached[p.id]; k != nil {
		delete(r.cached, p.id)
		return k
	}
	var history []*process
	for q := p; q != nil; q = q.parent {
		history = append(history, q)
	}
	first := history[len(history)-1]
	k := bootKernel(first.replica, first.files)
	for _, q := range slices.Backward(history) {
		r.Replayed++
		fixRandom(k, q.replica, q.incarnation)
		k.Step(q.at, epoch+q.at, q.input)
	}
	return k
}

// run applies the input of next to a kernel and returns the effects. If an earlier history led to the same state, the
// effects refer to the known process instead of next.
func (r *runtime) run(next *process, k *kernel.Kernel, before *process) *effects {
	r.Steps++
	fixRandom(k, next.replica, next.incarnation)
	out := k.Step(next.at, epoch+next.at, next.input)
	next.writes = nextWrites(next, out)
	next.timers = nextTimers(next, out)
	if v, ok := committedOf(k); ok {
		next.committed, next.body = v.Version, v.Body
	}
	state := digestOf(next.bytes(stateOf(k)))
	known := r.byState[state]
	if known == nil {
		next.id = int32(len(r.byState))
		r.byState[state] = next
		known = next
	} else if r.merged != nil {
		r.merged(known, next)
	}
	r.cache(known.id, k)
	e := &effects{next: known, sends: out.Sends}
	for _, wr := range out.Writes {
		if wr.Plugin == pluginName && wr.Data == nil {
			e.removes = append(e.removes, wr.File)
		}
	}
	return e
}

// cache keeps a kernel for the next step of its process. Above maxCachedKernels it evicts the kernel that was cached
// first.
func (r *runtime) cache(id int32, k *kernel.Kernel) {
	if r.cached[id] != nil {
		return
	}
	r.cached[id] = k
	r.cacheOrder = append(r.cacheOrder, id)
	if len(r.cacheOrder) > maxCachedKernels {
		delete(r.cached, r.cacheOrder[0])
		r.cacheOrder = r.cacheOrder[1:]
	}
}

func nextWrites(next *process, out kernel.Output) []pendingWrite {
	writes := slices.Clone(next.writes)
	if v, ok := next.input.(kernel.Written); ok {
		writes = slices.DeleteFunc(writes, func(w pendingWrite) bool { return w.key == v.Key && v.Key != "" })
	}
	cause := digestOf(append(inputBytes(next.input), fmt.Sprint(next.at)...))
	for _, w := range out.Writes {
		if w.Plugin == pluginName && w.Data != nil {
			writes = append(writes, pendingWrite{key: w.Key, file: w.File, data: w.Data, cause: cause})
		}
	}
	return writes
}

// nextTimers returns the timers after a step: without the timer that fired, and with the timers that the step
// requested.
func nextTimers(next *process, out kernel.Output) []timer {
	timers := slices.Clone(next.timers)
	if v, ok := next.input.(kernel.Tick); ok {
		if i := slices.IndexFunc(timers, func(t timer) bool { return t.plugin == v.Plugin && t.key == v.Key }); i >= 0 {
			timers = slices.Delete(timers, i, i+1)
		}
	}
	for _, t := range out.Timers {
		if t.Plugin == pluginName {
			timers = append(timers, timer{t.At, t.Plugin, t.Key})
		}
	}
	slices.SortFunc(timers, func(a, b timer) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.key, b.key)) })
	return timers
}

// bytes returns an encoding of everything on which the further behaviour of a process depends.
func (p *process) bytes(fingerprint []byte) []byte {
	b := append(fingerprint, byte(p.replica), byte(p.incarnation))
	for _, w := range p.writes {
		b = append(b, w.key...)
		b = append(b, w.file...)
		b = append(b, w.cause[:]...)
		b = append(b, w.data...)
	}
	for _, t := range p.timers {
		b = appendNumber(b, t.at)
		b = append(b, t.key...)
	}
	b = appendNumber(b, int64(p.committed.Term))
	return appendNumber(b, int64(p.committed.Seq))
}

// inputBytes returns an unambiguous encoding of an input.
func inputBytes(input kernel.Input) []byte {
	if v, ok := input.(kernel.Received); ok {
		return append(appendNumber([]byte("received"), int64(v.Conn)), v.Data...)
	}
	return fmt.Appendf(nil, "%T%v", input, input)
}

func inputDigest(input kernel.Input) digest { return digestOf(inputBytes(input)) }
