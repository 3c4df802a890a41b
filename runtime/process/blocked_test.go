package process

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wallport/runtime/kernel"
	"wallport/runtime/settings"
)

// hangTimeout is how long a test waits for a function that must not block. The time passes only if the
// function hangs.
const hangTimeout = 10 * time.Second

// blockLoop blocks the loop of a process until the test ends, and fills its inbox.
func blockLoop(t *testing.T, p *Process) {
	t.Helper()
	blocked, release := make(chan struct{}), make(chan struct{})
	go p.Do(func(int64) { close(blocked); <-release })
	<-blocked
	t.Cleanup(func() { close(release) })
	for {
		select {
		case p.inbox <- kernel.SeedsChanged{}:
		default:
			return
		}
	}
}

// returnsInTime reports whether a function returns within hangTimeout.
func returnsInTime(f func()) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

func TestCallTimesOutWhenLoopIsBlocked(t *testing.T) {
	p := start(t, settings.Settings{Mesh: freeAddr(t), FleetSecret: "s"})
	blockLoop(t, p)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	must.True(t, returnsInTime(func() { p.Call(ctx, "operate", nil) }))
}

// Guards against a nil dereference: a connection that is still being opened may be closed, and has no socket yet.
func TestPendingConnectionCanBeClosed(t *testing.T) {
	p := start(t, settings.Settings{Mesh: freeAddr(t), FleetSecret: "s"})
	pending := newPeerConn(p.transport, nil, "127.0.0.1:1", false, true)
	defer func() { must.Nil(t, recover()) }()
	pending.close()
}

func TestBacklogForUnresponsiveAddressIsBounded(t *testing.T) {
	p := start(t, settings.Settings{Mesh: freeAddr(t), FleetSecret: "s"})
	// The listener accepts connections and sends nothing, like the machine of a frozen process.
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { silent.Close() })
	addr := silent.Addr().String()
	for range 2 * maxBacklogFrames {
		p.transport.send(kernel.Send{Addr: addr, Data: []byte("frame")})
	}
	must.Between(t, 1, backlogOf(p, addr), maxBacklogFrames)
	must.GreaterEq(t, maxBacklogFrames, p.Kernel.Counts.Of("sends_unreachable").Load())
}

// backlogOf returns the number of frames queued for the connection to an address.
func backlogOf(p *Process, addr string) int {
	p.transport.mu.Lock()
	defer p.transport.mu.Unlock()
	pc := p.transport.direct[addr]
	if pc == nil {
		return 0
	}
	pc.mu.Lock()
	defer pc.mu.Unlock()
	return len(pc.frames)
}

func TestBacklogIsBoundedInBytes(t *testing.T) {
	p := start(t, settings.Settings{Mesh: freeAddr(t), FleetSecret: "s"})
	pending := newPeerConn(p.transport, nil, "127.0.0.1:1", false, true)
	frame := make([]byte, 1<<20)
	for range 3 * maxBacklogBytes / len(frame) {
		pending.enqueue(kernel.Send{Data: frame})
	}
	must.Eq(t, maxBacklogBytes, pending.bytes)
	pending.enqueue(kernel.Send{Data: frame[:0], ReplaceKey: "s"})
	pending.enqueue(kernel.Send{Data: []byte("newer"), ReplaceKey: "s"})
	must.Eq(t, maxBacklogBytes/len(frame)+1, len(pending.takeAll()))
	must.Eq(t, 0, pending.bytes)
}

// A request that arrives while the process is frozen waits for the thaw, but not beyond its timeout.
func TestAwaitThawTimesOutWhenLoopIsBlocked(t *testing.T) {
	p := start(t, settings.Settings{Mesh: freeAddr(t), FleetSecret: "s"})
	blockLoop(t, p)
	p.lastRun.Store(p.Now() - 2*FreezeGap)
	must.True(t, returnsInTime(func() { p.AwaitThaw(50 * time.Millisecond) }))
}
