// Package process is the real driver: it runs one kernel on this machine's
// clock, network and disk, and carries out what each step asks for. One
// goroutine steps the kernel; others read channels, write files and fetch.
package process

import (
	"container/heap"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"wallport/runtime/invariant"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
)

// FreezeGap is how long the loop must not have run to count as thawed.
const FreezeGap = 1_000_000

// maxInbox bounds the inputs that wait for the loop.
const maxInbox = 8192

// Process is a running kernel.
type Process struct {
	Kernel *kernel.Kernel
	Log    *zap.Logger

	startedAt  time.Time
	inbox      chan kernel.Input
	timers     timerHeap
	sampledLog *zap.Logger
	transport  *transport
	disk       *disk
	calls      sync.Map
	nextCall   atomic.Uint64
	lastRun    atomic.Int64
	thaws      atomic.Int64
	httpClient *http.Client
	fetchers   map[string]Fetcher
	fetchSlots chan struct{}
	stopping   chan struct{}
	loopDone   sync.WaitGroup
}

// Config is what a process is started with.
type Config struct {
	Settings settings.Settings
	Role     string
	Log      *zap.Logger
	// Fetchers carry out the fetches of the plug-ins they are named after, in place of a plain GET:
	// the seam at which a platform's own formats are turned into the product's.
	Fetchers map[string]Fetcher
}

// Start makes the kernel, opens its ports and runs its loop.
func Start(c Config) (*Process, error) {
	var seed [40]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, err
	}
	d, files, err := openDisk(c.Settings.DataDir)
	if err != nil {
		return nil, err
	}
	key := kernel.KeyFrom(seed[:32])
	k := kernel.New(kernel.Boot{Settings: c.Settings, Role: c.Role, Seed: binary.BigEndian.Uint64(seed[32:]), Key: key, Files: files})
	p := &Process{
		Kernel: k, Log: c.Log, fetchers: c.Fetchers, startedAt: time.Now(), inbox: make(chan kernel.Input, maxInbox), disk: d,
		httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second}},
		// Fetches are small and few; more than this at once means that something hangs.
		fetchSlots: make(chan struct{}, 128), stopping: make(chan struct{}),
	}
	// What peers can bring about is logged with a limit: twenty lines of an event
	// a second, then one in a hundred. The counters tell the rest.
	p.sampledLog = c.Log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, 20, 100)
	}))
	for _, n := range invariant.All() {
		// Shown from the start, as 0.
		k.Counts.Of(invariant.Counter(n))
	}
	if p.transport, err = openTransport(p, key); err != nil {
		return nil, err
	}
	p.lastRun.Store(p.Now())
	p.loopDone.Add(1)
	go p.run()
	return p, nil
}

// Invariants is where violations go that are seen outside the kernel's steps.
func (p *Process) Invariants() *invariant.Recorder {
	return &invariant.Recorder{Count: p.Kernel.Counts.Add, Log: func(n invariant.Name, detail string) {
		p.Log.Error(invariant.Event, zap.String("invariant", string(n)), zap.String("detail", detail))
	}}
}

// Sampled is a log for what clients and peers can bring about: a few lines of an event a second,
// then one in many.
func (p *Process) Sampled() *zap.Logger { return p.sampledLog }

// Now is the process's monotonic clock.
func (p *Process) Now() int64 { return time.Since(p.startedAt).Microseconds() }

// Frozen reports whether the loop has not run for so long that its tables are old.
func (p *Process) Frozen() bool { return p.Now()-p.lastRun.Load() > FreezeGap }

// Thaws counts the freezes noticed so far.
func (p *Process) Thaws() int64 { return p.thaws.Load() }

// Post feeds an input.
func (p *Process) Post(in kernel.Input) {
	select {
	case p.inbox <- in:
	case <-p.stopping:
	}
}

func (p *Process) step(at clocks, in kernel.Input) {
	out := p.Kernel.Step(at.now, at.wall, in)
	for _, n := range out.LogEvents {
		p.logEvent(n)
	}
	for _, t := range out.Timers {
		heap.Push(&p.timers, t)
	}
	for _, w := range out.Writes {
		p.disk.enqueue(p, w)
	}
	for _, a := range out.Dials {
		p.transport.dialMesh(a)
	}
	for _, s := range out.Sends {
		p.transport.send(s)
	}
	for _, ch := range out.Drops {
		p.transport.drop(ch)
	}
	for _, f := range out.Fetches {
		p.fetch(f)
	}
	for _, a := range out.Replies {
		if ch, ok := p.calls.Load(a.ID); ok {
			select {
			case ch.(chan any) <- a.Value:
			default:
			}
		}
	}
}

var zapLevels = []zapcore.Level{zapcore.DebugLevel, zapcore.InfoLevel, zapcore.WarnLevel, zapcore.ErrorLevel}

func (p *Process) logEvent(event kernel.LogEvent) {
	line := p.sampledLog.Check(zapLevels[min(max(event.Level, kernel.LevelDebug), kernel.LevelError)-kernel.LevelDebug], event.Event)
	if line == nil {
		return
	}
	fields := make([]zap.Field, 0, len(event.Fields)/2)
	for i := 0; i+1 < len(event.Fields); i += 2 {
		fields = append(fields, logField(fmt.Sprint(event.Fields[i]), event.Fields[i+1]))
	}
	line.Write(fields...)
}

// logField makes a field of a plug-in's value. What would need reflection is written as text: an encoder
// may end the process over it.
func logField(key string, value any) zap.Field {
	if f := zap.Any(key, value); f.Type != zapcore.ReflectType {
		return f
	}
	return zap.String(key, fmt.Sprint(value))
}

// Stop ends the loop and closes every channel.
func (p *Process) Stop() {
	close(p.stopping)
	p.loopDone.Wait()
	p.transport.close()
	p.disk.close()
}
