// What must not wait for a loop that is held up, and what must not end a process.

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

// hangTimeout is how long a test waits for what must not wait: only a hang lasts so long.
const hangTimeout = 10 * time.Second

// blockLoop has the loop of a process do nothing until the test is over, and fills its inbox.
func blockLoop(t *testing.T, p *Process) {
	t.Helper()
	begun, release := make(chan struct{}), make(chan struct{})
	go p.Do(func(int64) { close(begun); <-release })
	<-begun
	t.Cleanup(func() { close(release) })
	for {
		select {
		case p.inbox <- kernel.SeedsChanged{}:
		default:
			return
		}
	}
}

// returnsInTime reports whether a function returns, and does not hang.
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
	p := start(t, settings.Settings{Mesh: free(t), FleetSecret: "s"})
	blockLoop(t, p)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	must.True(t, returnsInTime(func() { p.Call(ctx, "operate", nil) }))
}

// Frames wait for a connection that is being opened. Their number is bounded, and the end of what is
// not open yet is no other than that of an open one.
func TestPendingConnectionCanBeClosed(t *testing.T) {
	p := start(t, settings.Settings{Mesh: free(t), FleetSecret: "s"})
	wait := newPeerConn(p.transport, nil, "127.0.0.1:1", false, true)
	defer func() { must.Nil(t, recover()) }()
	wait.close()
}

func TestBacklogForUnresponsiveAddressIsBounded(t *testing.T) {
	p := start(t, settings.Settings{Mesh: free(t), FleetSecret: "s"})
	// It takes connections and says nothing, as the machine of a frozen process does.
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

// backlogOf is how many frames wait for the connection to an address.
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
	p := start(t, settings.Settings{Mesh: free(t), FleetSecret: "s"})
	wait := newPeerConn(p.transport, nil, "127.0.0.1:1", false, true)
	frame := make([]byte, 1<<20)
	for range 3 * maxBacklogBytes / len(frame) {
		wait.enqueue(kernel.Send{Data: frame})
	}
	must.Eq(t, maxBacklogBytes, wait.bytes)
	wait.enqueue(kernel.Send{Data: frame[:0], ReplaceKey: "s"})
	wait.enqueue(kernel.Send{Data: []byte("newer"), ReplaceKey: "s"})
	must.Eq(t, maxBacklogBytes/len(frame)+1, len(wait.takeAll()))
	must.Eq(t, 0, wait.bytes)
}

// A request that finds the process frozen waits for it to judge anew, but no longer than it may.
func TestAwaitThawTimesOutWhenLoopIsBlocked(t *testing.T) {
	p := start(t, settings.Settings{Mesh: free(t), FleetSecret: "s"})
	blockLoop(t, p)
	p.lastRun.Store(p.Now() - 2*FreezeGap)
	must.True(t, returnsInTime(func() { p.AwaitThaw(50 * time.Millisecond) }))
}
