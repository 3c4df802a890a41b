// What must not wait for a loop that is held up, and what must not end a process.
package process

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wallport/env"
	"wallport/kernel"
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

// returns tells whether a function returns, and does not hang.
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
	p := start(t, env.Env{Mesh: free(t), Fleet: "s"})
	holdUp(t, p)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	must.True(t, returns(func() { p.Call(ctx, "operate", nil) }))
}

// Frames wait for a connection that is being opened. Their number is bounded, and the end of what is
// not open yet is no other than that of an open one.
func TestAConnectionThatIsNotOpenYetCanBeGivenUp(t *testing.T) {
	p := start(t, env.Env{Mesh: free(t), Fleet: "s"})
	wait := newChannel(p.channels, nil, "127.0.0.1:1", false, true)
	defer func() { must.Nil(t, recover()) }()
	wait.close()
}
