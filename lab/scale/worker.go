// The child processes of a run. The lab's own processes serve requests over their standard input and output and exit when
// these pipes are closed, so that none outlives the run that started it; real processes are killed by their id.

package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// child is one OS process that a run has started.
type child struct {
	class, name string
	// count is the number of wallport processes that the child hosts.
	count int
	cmd   *exec.Cmd
	in    io.WriteCloser
	out   *bufio.Reader
	mu    sync.Mutex
	done  chan struct{}
	args  []string
	// timedOut reports that the child did not answer a request in time.
	timedOut bool
	// operator is the address of a real process's operator API, mesh its mesh address.
	operator, mesh string
}

// start starts the child. If piped is true, the child receives requests on its standard input and answers them on its
// standard output.
func (c *child) start(dir string, piped bool) error {
	logs, err := os.OpenFile(filepath.Join(dir, c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	c.cmd = exec.Command(c.args[0], c.args[1:]...)
	c.cmd.Stderr = logs
	// The child gets its own process group, so that an interrupt from the terminal reaches only the run.
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if piped {
		if c.in, err = c.cmd.StdinPipe(); err != nil {
			return err
		}
		out, err := c.cmd.StdoutPipe()
		if err != nil {
			return err
		}
		c.out = bufio.NewReaderSize(out, 1<<20)
	} else {
		c.cmd.Stdout = logs
	}
	if err := c.cmd.Start(); err != nil {
		return err
	}
	c.done = make(chan struct{})
	cmd, done := c.cmd, c.done
	go func() { cmd.Wait(); close(done) }()
	return nil
}

// kill kills the child and waits for it.
func (c *child) kill() {
	if c.cmd == nil || c.cmd.Process == nil {
		return
	}
	if c.in != nil {
		c.in.Close()
	}
	c.cmd.Process.Kill()
	<-c.done
}

// read reads one line of JSON from the child's output.
func (c *child) read(ctx context.Context, v any) error {
	type line struct {
		b   []byte
		err error
	}
	got := make(chan line, 1)
	if c.timedOut {
		return fmt.Errorf("%s did not answer an earlier request in time", c.name)
	}
	go func() {
		b, err := c.out.ReadBytes('\n')
		got <- line{b, err}
	}()
	select {
	case l := <-got:
		if l.err != nil {
			return fmt.Errorf("read answer of %s: %w (see its log)", c.name, l.err)
		}
		return json.Unmarshal(l.b, v)
	case <-ctx.Done():
		// A late answer would be taken for the answer to the next request.
		c.timedOut = true
		return fmt.Errorf("%s did not answer: %w", c.name, ctx.Err())
	}
}

// ask sends a request to a host of hollow processes and returns its answer.
func (c *child) ask(ctx context.Context, a HostRequest) (HostResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var t HostResponse
	b, err := json.Marshal(a)
	if err != nil {
		return t, err
	}
	if _, err := c.in.Write(append(b, '\n')); err != nil {
		return t, fmt.Errorf("send request to %s: %w", c.name, err)
	}
	if err := c.read(ctx, &t); err != nil {
		return t, err
	}
	if t.Err != "" {
		return t, fmt.Errorf("%s: %s", c.name, t.Err)
	}
	return t, nil
}

// Serve writes the endpoints of the hollow processes to out, then answers requests from in until in ends.
func (h *Hollow) Serve(in io.Reader, out io.Writer) error {
	e := json.NewEncoder(out)
	if err := e.Encode(HostResponse{Up: h.Up()}); err != nil {
		return err
	}
	d := json.NewDecoder(in)
	for {
		var a HostRequest
		if err := d.Decode(&a); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		if err := e.Encode(h.Do(a)); err != nil {
			return err
		}
	}
}

// forEach calls f concurrently for all elements of a list and returns the first error in list order.
func forEach[T any](list []T, f func(T) error) error {
	errs := make([]error, len(list))
	var wg sync.WaitGroup
	for i, v := range list {
		wg.Go(func() { errs[i] = f(v) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// sleep waits for d; it returns the context's error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
