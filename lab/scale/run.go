// One run with one fleet size: real cores, a few real nodes, many hollow nodes and hollow backends, all on loopback. It
// measures the start, an idle phase, changes of the configuration, and the loss and restart of a node.

package scale

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Options configures a run and its limits.
type Options struct {
	// Bin is the folder of the programs wallport and lab, Dir the folder for data and logs.
	Bin, Dir string
	Cores    int
	// Real is the number of nodes that are separate OS processes; PerHost is the number of hollow nodes per OS
	// process.
	Real, PerHost int
	// Servers is the number of backends per node.
	Servers float64
	// Settle is the waiting time after the start, Rest the duration of the measured idle phase.
	Settle, Rest time.Duration
	Changes      int
	// Within is the time limit for the start, Most the time limit for the whole run. MemoryMost is the limit for the
	// resident memory of all processes of the run together, in bytes.
	Within, Most time.Duration
	MemoryMost   int64
	Log          io.Writer
}

// Measured holds the results of a run with one fleet size. Times are in microseconds of this machine's clock.
type Measured struct {
	At                        time.Time
	Commit                    string
	Machine                   string
	Nodes, Cores, Real, Hosts int
	Servers                   int
	ReadyUs                   int64
	ReadyNodes                int
	// Phases holds the rates by phase (start, rest, changes, loss, join) and class (node, core, hollow).
	Phases map[string]map[string]Rates
	// AckUs are the times from sending an edit to its acknowledgement. InForceUs are the times from the
	// acknowledgement until the edit is in force, for each change and node; AllUs those until it is in force on the
	// last node, for each change.
	AckUs, InForceUs, AllUs Times
	// NeverInForce counts the pairs of a node and a change that was not in force on the node at the end.
	NeverInForce int
	// LostUs are the times from killing a node until each hollow node considers it not live, MetUs the times from its
	// restart until each hollow node considers it live. LostSilent and MetSilent count the hollow nodes that did not
	// observe the loss or the restart in time.
	LostUs, MetUs         Times
	LostSilent, MetSilent int
	// LagUs is the longest time that an event loop took to process an input, over all samples.
	LagUs int64
	// Stuck is the greatest number of processes in one sample whose event loop processed no input within
	// stuckTimeout.
	Stuck int
	// Load is the machine's load average before the idle phase; CPUAll is the number of cores that all processes of
	// the run used during that phase.
	Load, CPUAll float64
	MemoryMost   int64
	// Saturated reports that the machine, not the product, determined the measured times.
	Saturated bool
	Note      string
}

// Times holds the number, quantiles, maximum and sum of measured times.
type Times struct {
	N                   int
	P50, P99, Most, Sum int64
}

func timesOf(us []int64) Times {
	var v []float64
	t := Times{N: len(us)}
	for _, u := range us {
		v = append(v, float64(u))
		t.Sum += u
	}
	t.P50, t.P99, t.Most = int64(Quantile(v, 0.5)), int64(Quantile(v, 0.99)), int64(Quantile(v, 1))
	return t
}

type run struct {
	o        Options
	m        Measured
	dir      string
	net      string
	mu       sync.Mutex
	children []*child
	hosts    []*child
	platform string
	shards   int
	client   *http.Client
	rampUs   int64
	memory   atomic.Int64
}

// Run measures one fleet size. If it fails, it also returns the results measured so far.
func Run(ctx context.Context, nodes int, o Options) (m Measured, err error) {
	ctx, cancel := context.WithTimeoutCause(ctx, o.Most, fmt.Errorf("the run exceeded its time limit of %v", o.Most))
	defer cancel()
	f := &run{o: o, client: &http.Client{Timeout: 15 * time.Second}, rampUs: 3_000_000}
	f.dir = filepath.Join(o.Dir, fmt.Sprintf("scale-%d", nodes))
	if err := os.MkdirAll(f.dir, 0o700); err != nil {
		return m, err
	}
	f.m = Measured{
		At: time.Now().UTC().Truncate(time.Second), Commit: commit(), Machine: fmt.Sprintf("%d cores, %s", runtime.NumCPU(), runtime.Version()),
		Nodes: nodes, Cores: o.Cores, Real: min(o.Real, nodes), Servers: max(4, int(math.Round(float64(nodes)*o.Servers))),
		Phases: map[string]map[string]Rates{},
	}
	f.net = loopback()
	defer func() {
		forEach(f.children, func(c *child) error { c.kill(); return nil })
	}()
	guard, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	go f.limitMemory(guard, stop)
	if err := f.measure(guard); err != nil {
		if cause := context.Cause(guard); cause != nil {
			err = fmt.Errorf("%w: %w", err, cause)
		}
		f.m.Note = err.Error()
		return f.m, err
	}
	f.assessSaturation()
	return f.m, nil
}

// commit returns the short hash of the commit that is checked out, with a plus if Go files differ from it.
func commit() string {
	rev, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	out := strings.TrimSpace(string(rev))
	if exec.Command("git", "diff", "--quiet", "HEAD", "--", "*.go").Run() != nil {
		out += "+"
	}
	return out
}

// loopback returns a loopback address for this run alone, so that outgoing connections of other processes take no ports
// on it. If the system has no such address, it returns 127.0.0.1.
func loopback() string {
	ip := fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()%128, time.Now().UnixNano()/1000%250+1)
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "127.0.0.1"
	}
	l.Close()
	return ip
}

// limitMemory cancels the run when its processes together hold more than MemoryMost.
func (f *run) limitMemory(ctx context.Context, stop context.CancelCauseFunc) {
	for sleep(ctx, time.Second) == nil {
		if sum := f.residentMemory(); sum > f.o.MemoryMost {
			stop(fmt.Errorf("the processes of the run held %d MB of memory together, the limit is %d MB", sum>>20, f.o.MemoryMost>>20))
			return
		}
	}
}

// assessSaturation marks a run whose times were determined by the machine: an event loop lagged by more than 250 ms, more
// than 0.7 of the CPU cores were in use, or not all hollow nodes became ready.
func (f *run) assessSaturation() {
	f.m.MemoryMost = f.memory.Load()
	full := f.m.CPUAll > 0.7*float64(runtime.NumCPU())
	if f.m.LagUs > 250_000 || full || f.m.ReadyNodes < f.m.Nodes-f.m.Real {
		f.m.Saturated = true
		f.m.Note = fmt.Sprintf("saturated: %.1f of %d cores in use, longest event loop lag %d ms, %d loops stuck, %d hollow nodes ready",
			f.m.CPUAll, runtime.NumCPU(), f.m.LagUs/1000, f.m.Stuck, f.m.ReadyNodes)
	}
}

func (f *run) logf(format string, v ...any) {
	if f.o.Log != nil {
		fmt.Fprintf(f.o.Log, "%s %d nodes: %s\n", time.Now().Format("15:04:05"), f.m.Nodes, fmt.Sprintf(format, v...))
	}
}
