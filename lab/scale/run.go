// One run at one size: real cores, a few real nodes and many hollow ones over hollow
// backends, all on loopback; measured while they start, at rest, while the configuration
// changes, and when a node is lost and comes back.

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

// Options say what to run and within which bounds.
type Options struct {
	// Bin is the folder of the programs wallport and lab; Dir is for data and logs.
	Bin, Dir string
	Cores    int
	// Real nodes are processes of their own; PerHost hollow ones share one.
	Real, PerHost int
	// Servers is the number of backends for each node.
	Servers float64
	// Settle is waited after the start, Rest is measured.
	Settle, Rest time.Duration
	Changes      int
	// Within bounds the start, and Most the whole run; MemoryMost in bytes bounds what all
	// processes of the run may hold together.
	Within, Most time.Duration
	MemoryMost   int64
	Log          io.Writer
}

// Measured is one size's figures. Times are in microseconds of this machine's clock.
type Measured struct {
	At                        time.Time
	Commit                    string
	Machine                   string
	Nodes, Cores, Real, Hosts int
	Servers                   int
	ReadyUs                   int64
	ReadyNodes                int
	// Phases by name (start, rest, changes, loss, join), then by class (node, core, hollow).
	Phases map[string]map[string]Rates
	// AckUs is from an edit's sending to its acknowledgement, InForceUs from that to each
	// node's having it in force, over all changes; AllUs to the last node's, for each change.
	AckUs, InForceUs, AllUs Times
	// NeverInForce counts the pairs of a node and a change that it had not in force in the end.
	NeverInForce int
	// LostUs is from a node's kill until each other node holds it for lost, MetUs from its
	// start anew until each holds it for live; Silent are those that had not seen it in time.
	LostUs, MetUs         Times
	LostSilent, MetSilent int
	// LagUs is the longest that a loop took to come to an input, over the samples.
	LagUs int64
	// Stuck is the most processes whose loop took no input for seconds, over the samples.
	Stuck int
	// Load is the machine's load when the rest began; CPUAll the cores that the whole run used.
	Load, CPUAll float64
	MemoryMost   int64
	// Saturated tells that the machine, not the product, set the times.
	Saturated bool
	Note      string
}

// Times are the quantiles of some times.
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

// Run measures one size.
func Run(ctx context.Context, nodes int, o Options) (m Measured, err error) {
	ctx, cancel := context.WithTimeoutCause(ctx, o.Most, fmt.Errorf("the run took longer than %v", o.Most))
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

// commit is the one that is checked out here; a plus says that the tree differs from it.
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

// loopback is a network of loopback addresses for this run, so that no outgoing
// connection takes a port on them; where there is none, the usual address.
func loopback() string {
	ip := fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()%128, time.Now().UnixNano()/1000%250+1)
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "127.0.0.1"
	}
	l.Close()
	return ip
}

// limitMemory ends the run when its processes hold too much memory.
func (f *run) limitMemory(ctx context.Context, stop context.CancelCauseFunc) {
	for sleep(ctx, time.Second) == nil {
		if sum := f.residentMemory(); sum > f.o.MemoryMost {
			stop(fmt.Errorf("all processes held %d MB together, the bound is %d", sum>>20, f.o.MemoryMost>>20))
			return
		}
	}
}

// assessSaturation tells a run whose times are the machine's: a loop that waits, or processors that
// are nearly all in use.
func (f *run) assessSaturation() {
	f.m.MemoryMost = f.memory.Load()
	full := f.m.CPUAll > 0.7*float64(runtime.NumCPU())
	if f.m.LagUs > 250_000 || full || f.m.ReadyNodes < f.m.Nodes-f.m.Real {
		f.m.Saturated = true
		f.m.Note = fmt.Sprintf("saturated: %.1f of %d cores in use, longest wait of a loop %d ms, %d stuck, %d hollow nodes ready",
			f.m.CPUAll, runtime.NumCPU(), f.m.LagUs/1000, f.m.Stuck, f.m.ReadyNodes)
	}
}

func (f *run) logf(format string, v ...any) {
	if f.o.Log != nil {
		fmt.Fprintf(f.o.Log, "%s %d nodes: %s\n", time.Now().Format("15:04:05"), f.m.Nodes, fmt.Sprintf(format, v...))
	}
}
