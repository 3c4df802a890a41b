package main

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
)

// hangTimeout is how long a test waits for what must not block: only a hang lasts so long.
const hangTimeout = 10 * time.Second

// replaceStderrWithUnreadPipe makes standard error a pipe that nobody reads, until the test ends.
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
		t.Fatal("a line waits for the log's reader")
	}
}
