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

// hangs is how long a test waits for what must not wait: only a hang lasts so long.
const hangs = 10 * time.Second

// holdUp has the loop of a process do nothing until the test is over, and fills its inbox.
func holdUp(t *testing.T, p *Process) {
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

// returns reports whether a function returns, and does not hang.
func returns(f func()) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), hangs)
	defer cancel()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

func TestACallEndsWithItsTimeWhenTheLoopIsHeldUp(t *testing.T) {
	p := start(t, settings.Settings{Mesh: free(t), Fleet: "s"})
	holdUp(t, p)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	must.True(t, returns(func() { p.Call(ctx, "operate", nil) }))
}

// Frames wait for a connection that is being opened. Their number is bounded, and the end of what is
// not open yet is no other than that of an open one.
func TestAConnectionThatIsNotOpenYetCanBeGivenUp(t *testing.T) {
	p := start(t, settings.Settings{Mesh: free(t), Fleet: "s"})
	wait := newChannel(p.channels, nil, "127.0.0.1:1", false, true)
	defer func() { must.Nil(t, recover()) }()
	wait.close()
}

func TestFramesForAnAddressThatDoesNotAnswerAreBounded(t *testing.T) {
	p := start(t, settings.Settings{Mesh: free(t), Fleet: "s"})
	// It takes connections and says nothing, as the machine of a frozen process does.
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { silent.Close() })
	addr := silent.Addr().String()
	for range 2 * backlogMost {
		p.channels.send(kernel.Send{Addr: addr, Data: []byte("frame")})
	}
	must.Between(t, 1, waiting(p, addr), backlogMost)
	must.GreaterEq(t, backlogMost, p.Kernel.Counts.Of("sends_unreachable").Load())
}

// waiting is how many frames wait for the connection to an address.
func waiting(p *Process, addr string) int {
	p.channels.mu.Lock()
	defer p.channels.mu.Unlock()
	ch := p.channels.direct[addr]
	if ch == nil {
		return 0
	}
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return len(ch.frames)
}

func TestBacklogIsBoundedInBytes(t *testing.T) {
	p := start(t, settings.Settings{Mesh: free(t), Fleet: "s"})
	wait := newChannel(p.channels, nil, "127.0.0.1:1", false, true)
	frame := make([]byte, 1<<20)
	for range 3 * backlogBytes / len(frame) {
		wait.enlist(kernel.Send{Data: frame})
	}
	must.Eq(t, backlogBytes, wait.bytes)
	wait.enlist(kernel.Send{Data: frame[:0], ReplaceKey: "s"})
	wait.enlist(kernel.Send{Data: []byte("newer"), ReplaceKey: "s"})
	must.Eq(t, backlogBytes/len(frame)+1, len(wait.take()))
	must.Eq(t, 0, wait.bytes)
}

// A request that finds the process frozen waits for it to judge anew, but no longer than it may.
func TestWaitingForAThawEndsWhenTheLoopIsHeldUp(t *testing.T) {
	p := start(t, settings.Settings{Mesh: free(t), Fleet: "s"})
	holdUp(t, p)
	p.lastRun.Store(p.Now() - 2*FreezeGap)
	must.True(t, returns(func() { p.AwaitThaw(50 * time.Millisecond) }))
}
