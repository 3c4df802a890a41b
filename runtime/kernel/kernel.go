// Package kernel holds the deterministic heart of every wallport process.
// A process is one Kernel: plug-ins that register themselves, fed one Input
// at a time, each returning what to send, write, fetch, time and answer.
// Drivers own the clock, the network and the disk; there is a real one and a
// simulated one, and the plug-ins cannot tell which of them they run under.
package kernel

import (
	"math/rand/v2"
	"slices"
	"sort"
	"sync/atomic"

	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// Plugin is one concern of a process. Step must not block, sleep or read clocks.
type Plugin interface {
	Name() string
	Kinds() []uint8
	Step(ctx *Context, in Input)
}

// Registration says where a plug-in belongs and how it is made. Plug-ins of
// lower rank are made first, so later ones may find them.
type Registration struct {
	Rank  int
	Roles []string
	Make  func(k *Kernel) Plugin
}

var registered []Registration

// Register is called from the init function of each plug-in's package.
func Register(r Registration) {
	registered = append(registered, r)
}

// Boot is all that a process is given at its start.
type Boot struct {
	Settings settings.Settings
	Role     string
	Seed     uint64
	Key      Key
	Files    map[string][]byte
}

// Kernel owns the plug-ins of one process and routes inputs to them.
type Kernel struct {
	Boot     Boot
	Rand     *rand.Rand
	plugins  []Plugin
	byName   map[string]Plugin
	byKind   map[uint8]Plugin
	deferred []func(ctx *Context)
	Counts   *Counts
	steps    *atomic.Int64
	chunks   *chunks
}

// New makes a kernel with every registered plug-in of the boot's role.
func New(b Boot) *Kernel {
	k := &Kernel{
		Boot: b, Rand: rand.New(rand.NewPCG(b.Seed, 0x77616c6c)), Counts: NewCounts(),
		byName: map[string]Plugin{}, byKind: map[uint8]Plugin{}, chunks: newChunks(),
	}
	k.steps = k.Counts.Of("steps")
	regs := append([]Registration(nil), registered...)
	sort.SliceStable(regs, func(i, j int) bool { return regs[i].Rank < regs[j].Rank })
	for _, r := range regs {
		if !slices.Contains(r.Roles, b.Role) {
			continue
		}
		p := r.Make(k)
		k.plugins = append(k.plugins, p)
		k.byName[p.Name()] = p
		for _, kind := range p.Kinds() {
			k.byKind[kind] = p
		}
	}
	return k
}

// Find returns the process's plug-in of type T, or the zero T without one.
func Find[T Plugin](k *Kernel) T {
	var zero T
	for _, p := range k.plugins {
		if v, ok := p.(T); ok {
			return v
		}
	}
	return zero
}

// Step feeds one input and returns everything that the plug-ins asked for.
func (k *Kernel) Step(now, wall int64, in Input) Output {
	k.steps.Add(1)
	ctx := &Context{Now: now, Wall: wall, Rand: k.Rand, Counts: k.Counts}
	k.route(ctx, in)
	for len(ctx.events) > 0 || len(k.deferred) > 0 {
		if len(ctx.events) == 0 {
			f := k.deferred[0]
			k.deferred = k.deferred[1:]
			f(ctx)
			continue
		}
		ev := ctx.events[0]
		ctx.events = ctx.events[1:]
		for _, p := range k.plugins {
			p.Step(ctx, ev)
		}
	}
	k.chunks.send(ctx)
	return ctx.Output
}

// Later has f run at the end of this step, or of the next one between steps: for a plug-in
// that others change by plain calls and that must act on it without looking again and again.
func (k *Kernel) Later(f func(ctx *Context)) { k.deferred = append(k.deferred, f) }

func (k *Kernel) route(ctx *Context, in Input) {
	switch v := in.(type) {
	case Received:
		if err := k.received(ctx, v); err != nil {
			k.Counts.Add("frames_malformed", 1)
			ctx.Drop(v.Conn)
		}
	case ConnDown:
		k.chunks.closed(v.Conn)
		k.each(ctx, in)
	case Tick:
		if v.Plugin == transferTimer {
			k.chunks.tick(ctx)
			return
		}
		k.to(ctx, v.Plugin, in)
	case Written:
		k.to(ctx, v.Plugin, in)
	case Fetched:
		k.to(ctx, v.Plugin, in)
	case Call:
		k.to(ctx, v.Plugin, in)
	case Canceled:
		k.to(ctx, v.Plugin, in)
	default:
		k.each(ctx, in)
	}
}

func (k *Kernel) each(ctx *Context, in Input) {
	for _, p := range k.plugins {
		p.Step(ctx, in)
	}
}

// received takes a frame; an error means that it is not one that this process can read.
func (k *Kernel) received(ctx *Context, in Received) error {
	frame, err := wire.Open(in.Data)
	if err != nil {
		return err
	}
	switch frame.Kind {
	case wire.KindChunkAck:
		var ack wire.ChunkAck
		if err := wire.Decode(frame.Body, &ack); err != nil {
			return err
		}
		k.chunks.acked(ctx, ack)
	case wire.KindChunk:
		var fragment wire.Chunk
		if err := wire.Decode(frame.Body, &fragment); err != nil {
			return err
		}
		message, err := k.chunks.received(ctx, in.Conn, fragment)
		if message == nil || err != nil {
			return err
		}
		k.deliver(ctx, in.Conn, *message)
	default:
		k.deliver(ctx, in.Conn, frame)
	}
	return nil
}

// deliver hands a message to the plug-in of its kind.
func (k *Kernel) deliver(ctx *Context, conn uint64, frame wire.Frame) {
	p, ok := k.byKind[frame.Kind]
	if !ok {
		k.Counts.Add("frames_unknown_kind", 1)
		return
	}
	p.Step(ctx, Message{Conn: conn, Kind: frame.Kind, ID: frame.ID, Body: frame.Body})
}

func (k *Kernel) to(ctx *Context, name string, in Input) {
	if p, ok := k.byName[name]; ok {
		p.Step(ctx, in)
	}
}
