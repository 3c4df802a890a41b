package kernel

import (
	"math/rand/v2"
	"slices"
	"sort"
	"sync/atomic"

	"wallport/runtime/clock"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// Plugin is one module of a process: a state machine that the kernel feeds with inputs.
type Plugin interface {
	// Name is unique within a process; ticks, calls and results of writes and fetches are addressed by it.
	Name() string
	// Kinds are the kinds of messages that the plug-in receives. A kind belongs to one plug-in.
	Kinds() []uint8
	// Step handles one input. It must not block, sleep or read a clock.
	Step(ctx *Context, in Input)
}

// Registration states in which roles a plug-in runs and how it is made. Plug-ins of a lower rank are
// made first, so that later ones can [Find] them. They also receive each event first: when a plug-in
// of a higher rank handles an event, those of a lower rank have already updated their state. Ranks
// range from 10, for the mesh, to 90, with gaps between them; only their order matters.
type Registration struct {
	Rank  int
	Roles []string
	Make  func(k *Kernel) Plugin
}

var registered []Registration

// Register adds a plug-in to every kernel made later. Packages call it from their init functions.
func Register(r Registration) {
	registered = append(registered, r)
}

// Boot holds the start parameters of a process.
type Boot struct {
	Settings settings.Settings
	Role     string
	// Seed is the seed of the kernel's random source.
	Seed uint64
	Key  Key
	// Files are the contents of the data folder, by name.
	Files map[string][]byte
}

// Kernel owns the plug-ins of one process and routes inputs to them. Only one goroutine may use it at a time.
type Kernel struct {
	Boot     Boot
	Rand     *rand.Rand
	Counts   *Counts
	plugins  []Plugin
	byName   map[string]Plugin
	byKind   map[uint8]Plugin
	deferred []func(ctx *Context)
	steps    *atomic.Int64
	chunks   *chunks
}

// seedStream is the second half of the random source's seed, "wall" in ASCII. It is constant: a
// process has only one random source, so Boot.Seed alone suffices to tell sources apart.
const seedStream = 0x77616c6c

// New makes a kernel with every registered plug-in of the boot's role.
func New(b Boot) *Kernel {
	k := &Kernel{
		Boot: b, Rand: rand.New(rand.NewPCG(b.Seed, seedStream)), Counts: NewCounts(),
		byName: map[string]Plugin{}, byKind: map[uint8]Plugin{}, chunks: newChunks(),
	}
	k.steps = k.Counts.Of("steps")
	byRank := append([]Registration(nil), registered...)
	sort.SliceStable(byRank, func(i, j int) bool { return byRank[i].Rank < byRank[j].Rank })
	for _, r := range byRank {
		if slices.Contains(r.Roles, b.Role) {
			k.add(r.Make(k))
		}
	}
	return k
}

func (k *Kernel) add(p Plugin) {
	k.plugins = append(k.plugins, p)
	k.byName[p.Name()] = p
	for _, kind := range p.Kinds() {
		k.byKind[kind] = p
	}
}

// Find returns the process's plug-in of type T, or the zero T if it has none.
func Find[T Plugin](k *Kernel) T {
	var zero T
	for _, p := range k.plugins {
		if v, ok := p.(T); ok {
			return v
		}
	}
	return zero
}

// Step handles one input and returns everything that the plug-ins requested because of it. now is the
// process's monotonic clock in microseconds since its start, and never goes back; wall is the time in
// microseconds since the Unix epoch, which may jump.
// Events that plug-ins emit are delivered in order, before the functions passed to Later run.
func (k *Kernel) Step(now, wall clock.Micros, in Input) Output {
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
		event := ctx.events[0]
		ctx.events = ctx.events[1:]
		k.stepAll(ctx, event)
	}
	k.chunks.send(ctx)
	return ctx.Output
}

// Later runs f at the end of the current step or, if none is in progress, of the next one. A plug-in
// whose methods are called directly, outside Step, uses it to act on such a call without polling.
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
		k.stepAll(ctx, in)
	case Tick:
		if v.Plugin == transferTimer {
			k.chunks.tick(ctx)
			return
		}
		k.stepPlugin(ctx, v.Plugin, in)
	case Written:
		k.stepPlugin(ctx, v.Plugin, in)
	case Fetched:
		k.stepPlugin(ctx, v.Plugin, in)
	case Call:
		k.stepPlugin(ctx, v.Plugin, in)
	case Canceled:
		k.stepPlugin(ctx, v.Plugin, in)
	default:
		k.stepAll(ctx, in)
	}
}

func (k *Kernel) stepAll(ctx *Context, in Input) {
	for _, p := range k.plugins {
		p.Step(ctx, in)
	}
}

func (k *Kernel) stepPlugin(ctx *Context, plugin string, in Input) {
	if p, ok := k.byName[plugin]; ok {
		p.Step(ctx, in)
	}
}

// received handles a frame. An error means that the frame is malformed and its connection must be dropped.
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

// deliver passes a message to the plug-in that registered its kind.
func (k *Kernel) deliver(ctx *Context, conn uint64, frame wire.Frame) {
	p, ok := k.byKind[frame.Kind]
	if !ok {
		k.Counts.Add("frames_unknown_kind", 1)
		return
	}
	p.Step(ctx, Message{Conn: conn, Kind: frame.Kind, ID: frame.ID, Body: frame.Body})
}
