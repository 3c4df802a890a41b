package main

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
)

// hangTimeout limits the wait for an operation that must not block. Only a hang takes that long.
const hangTimeout = 10 * time.Second

// replaceStderrWithUnreadPipe replaces standard error by a pipe without a reader until the test ends.
func replaceStderrWithUnreadPipe(t *testing.T) {
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

func TestLoggerDoesNotBlockOnUnreadStderr(t *testing.T) {
	replaceStderrWithUnreadPipe(t)
	log := newLogger("info", "test")
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range 20_000 {
			log.Info("line", zap.Int("n", i))
		}
		log.Sync()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	select {
	case <-written:
	case <-ctx.Done():
		t.Fatal("the logger blocked on a standard error that is not read")
	}
}
