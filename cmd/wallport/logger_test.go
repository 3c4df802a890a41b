// What a process logs holds nothing up, whoever reads it or doesn't.

package main

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
)

// hangs is how long a test waits for what must not wait: only a hang lasts so long.
const hangs = 10 * time.Second

// unreadStderr has standard error be a pipe that nobody reads.
func unreadStderr(t *testing.T) {
	t.Helper()
	read, write, err := os.Pipe()
	must.NoError(t, err)
	was := os.Stderr
	os.Stderr = write
	t.Cleanup(func() {
		os.Stderr = was
		read.Close()
		write.Close()
	})
}

func TestALogThatNobodyReadsHoldsNothingUp(t *testing.T) {
	unreadStderr(t)
	log := logger("info", "test")
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range 20_000 {
			log.Info("line", zap.Int("n", i))
		}
		log.Sync()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), hangs)
	defer cancel()
	select {
	case <-written:
	case <-ctx.Done():
		t.Fatal("a line waits for whoever reads the log")
	}
}
