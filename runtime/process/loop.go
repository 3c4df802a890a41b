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

// inboxMost bounds the inputs that wait for the loop.
const inboxMost = 8192

// Process is a running kernel.
type Process struct {
	Kernel *kernel.Kernel
	Log    *zap.Logger

	began    time.Time
	inbox    chan kernel.Input
	timers   timerHeap
	notes    *zap.Logger
	channels *channels
	disk     *disk
	calls    sync.Map
	nextCall atomic.Uint64
	lastRun  atomic.Int64
	thaws    atomic.Int64
	fetcher  *http.Client
	fetchers map[string]Fetcher
	fetching chan struct{}
	stop     chan struct{}
	stopped  sync.WaitGroup
}

// Config is what a process is started with.
type Config struct {
	Env  settings.Settings
	Role string
	Log  *zap.Logger
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
	d, files, err := openDisk(c.Env.Data)
	if err != nil {
		return nil, err
	}
	key := kernel.KeyFrom(seed[:32])
	k := kernel.New(kernel.Boot{Settings: c.Env, Role: c.Role, Seed: binary.BigEndian.Uint64(seed[32:]), Key: key, Files: files})
	p := &Process{
		Kernel: k, Log: c.Log, fetchers: c.Fetchers, began: time.Now(), inbox: make(chan kernel.Input, inboxMost), disk: d,
		fetcher: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second}},
		// Fetches are small and few; more than this at once means that something hangs.
		fetching: make(chan struct{}, 128), stop: make(chan struct{}),
	}
	// What peers can bring about is logged with a limit: twenty lines of an event
	// a second, then one in a hundred. The counters tell the rest.
	p.notes = c.Log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, 20, 100)
	}))
	for _, n := range invariant.All() {
		// Shown from the start, as 0.
		k.Counts.Of(invariant.Counter(n))
	}
	if p.channels, err = openChannels(p, key); err != nil {
		return nil, err
	}
	p.lastRun.Store(p.Now())
	p.stopped.Add(1)
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
func (p *Process) Sampled() *zap.Logger { return p.notes }

// Now is the process's monotonic clock.
func (p *Process) Now() int64 { return time.Since(p.began).Microseconds() }

// Frozen reports whether the loop has not run for so long that its tables are old.
func (p *Process) Frozen() bool { return p.Now()-p.lastRun.Load() > FreezeGap }

// Thaws counts the freezes noticed so far.
func (p *Process) Thaws() int64 { return p.thaws.Load() }

// Post feeds an input.
func (p *Process) Post(in kernel.Input) {
	select {
	case p.inbox <- in:
	case <-p.stop:
	}
}

func (p *Process) step(at clocks, in kernel.Input) {
	out := p.Kernel.Step(at.now, at.wall, in)
	for _, n := range out.LogEvents {
		p.note(n)
	}
	for _, t := range out.Timers {
		heap.Push(&p.timers, t)
	}
	for _, w := range out.Writes {
		p.disk.enlist(p, w)
	}
	for _, a := range out.Dials {
		p.channels.dialMesh(a)
	}
	for _, s := range out.Sends {
		p.channels.send(s)
	}
	for _, ch := range out.Drops {
		p.channels.drop(ch)
	}
	for _, f := range out.Fetches {
		p.fetch(f)
	}
	for _, a := range out.Answers {
		if ch, ok := p.calls.Load(a.ID); ok {
			select {
			case ch.(chan any) <- a.Value:
			default:
			}
		}
	}
}

var levels = []zapcore.Level{zapcore.DebugLevel, zapcore.InfoLevel, zapcore.WarnLevel, zapcore.ErrorLevel}

func (p *Process) note(n kernel.LogEvent) {
	line := p.notes.Check(levels[min(max(n.Level, kernel.LevelDebug), kernel.LevelError)-kernel.LevelDebug], n.Event)
	if line == nil {
		return
	}
	fields := make([]zap.Field, 0, len(n.Fields)/2)
	for i := 0; i+1 < len(n.Fields); i += 2 {
		fields = append(fields, field(fmt.Sprint(n.Fields[i]), n.Fields[i+1]))
	}
	line.Write(fields...)
}

// field makes a field of a plug-in's value. What would need reflection is written as text: an encoder
// may end the process over it.
func field(key string, value any) zap.Field {
	if f := zap.Any(key, value); f.Type != zapcore.ReflectType {
		return f
	}
	return zap.String(key, fmt.Sprint(value))
}

// Stop ends the loop and closes every channel.
func (p *Process) Stop() {
	close(p.stop)
	p.stopped.Wait()
	p.channels.close()
	p.disk.close()
}
