package process

import (
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wallport/runtime/clock"
	"wallport/runtime/invariant"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
)

const (
	// FreezeGap is how long the loop may go without running before the process counts as frozen.
	FreezeGap = 1 * clock.Second
	// maxInbox bounds the inputs that are queued for the loop.
	maxInbox = 8192
	// maxFetches bounds the fetches in flight. Fetches are small and few, so a larger number indicates that
	// they hang.
	maxFetches = 128
)

// Process is a kernel that runs on this machine's clock, network and disk.
type Process struct {
	Kernel *kernel.Kernel
	Log    *zap.Logger

	startedAt  time.Time
	inbox      chan kernel.Input
	timers     timerHeap
	sampledLog *zap.Logger
	transport  *transport
	disk       *disk
	// calls maps the id of a call in flight to the channel of its reply.
	calls    sync.Map
	nextCall atomic.Uint64
	// lastRun is when the loop last handled an input or checked for due timers, in microseconds since the
	// start; thaws counts the freezes that the loop detected.
	lastRun    atomic.Int64
	thaws      atomic.Int64
	httpClient *http.Client
	fetchers   map[string]Fetcher
	fetchSlots chan struct{}
	stopping   chan struct{}
	loopDone   sync.WaitGroup
}

// Config holds the parameters of Start.
type Config struct {
	Settings settings.Settings
	Role     string
	Log      *zap.Logger
	// Fetchers maps the name of a plug-in to the function that replaces the plain GET for its fetches.
	// Such a function converts a platform's format to the product's own.
	Fetchers map[string]Fetcher
}

// Start makes the kernel, opens the data folder and the mesh port, and runs the loop. It fails if the folder is
// in use or cannot be read, or if the port cannot be opened.
func Start(c Config) (*Process, error) {
	var random [40]byte
	if _, err := crand.Read(random[:]); err != nil {
		return nil, fmt.Errorf("cannot read random bytes for the process's key: %w", err)
	}
	d, files, err := openDisk(c.Settings.DataDir)
	if err != nil {
		return nil, err
	}
	key, seed := kernel.KeyFrom(random[:32]), binary.BigEndian.Uint64(random[32:])
	k := kernel.New(kernel.Boot{Settings: c.Settings, Role: c.Role, Seed: seed, Key: key, Files: files})
	p := &Process{
		Kernel: k, Log: c.Log, sampledLog: sampled(c.Log), fetchers: c.Fetchers, disk: d, startedAt: time.Now(),
		inbox:      make(chan kernel.Input, maxInbox),
		httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second}},
		fetchSlots: make(chan struct{}, maxFetches), stopping: make(chan struct{}),
	}
	for _, name := range invariant.All() {
		// Create the counters so that the metrics page shows them as 0 from the start.
		k.Counts.Of(invariant.Counter(name))
	}
	if p.transport, err = openTransport(p, key); err != nil {
		return nil, err
	}
	p.lastRun.Store(p.Now())
	p.loopDone.Add(1)
	go p.run()
	return p, nil
}

// Stop ends the loop, closes every connection and waits for the queued writes, for at most closeTimeout.
func (p *Process) Stop() {
	close(p.stopping)
	p.loopDone.Wait()
	p.transport.close()
	p.disk.close()
}

// Now returns the time since the process's start.
func (p *Process) Now() clock.Micros { return time.Since(p.startedAt).Microseconds() }

// Frozen reports whether the loop has not run for more than FreezeGap, so that its tables are out of date.
func (p *Process) Frozen() bool { return p.Now()-p.lastRun.Load() > FreezeGap }

// Thaws returns the number of freezes detected so far.
func (p *Process) Thaws() int64 { return p.thaws.Load() }

// Invariants returns the recorder for violations that are found outside the kernel's steps.
func (p *Process) Invariants() *invariant.Recorder {
	return &invariant.Recorder{Count: p.Kernel.Counts.Add, Log: func(n invariant.Name, detail string) {
		p.Log.Error(invariant.Event, zap.String("invariant", string(n)), zap.String("detail", detail))
	}}
}
