// Executes the verbs of scenarios on a real fleet.

package fleet

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"wallport/lab/backend"
	"wallport/lab/script"
)

// Play executes a scenario's steps at their times, and ends early without an error if the context ends.
func (f *Fleet) Play(ctx context.Context, s *script.Script) error {
	began := time.Now()
	for _, st := range s.Steps {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(began.Add(time.Duration(st.At) * time.Microsecond))):
		}
		if f.options.Log != nil {
			fmt.Fprintf(f.options.Log, "at=%s step=%q args=%q\n", time.Since(began).Round(time.Millisecond), st.Verb, strings.Join(st.Args, " "))
		}
		if err := f.runStep(ctx, st); err != nil {
			return fmt.Errorf("%s:%d: %w", s.Name, st.Line, err)
		}
	}
	return nil
}

// runStep executes one step.
func (f *Fleet) runStep(ctx context.Context, st script.Step) error {
	arg := func(i int) string {
		if i < len(st.Args) {
			return st.Args[i]
		}
		return ""
	}
	each := func(do func(name string) error) error {
		for _, name := range f.expandNames(st.Args) {
			if err := do(name); err != nil {
				return err
			}
		}
		return nil
	}
	switch st.Verb {
	case "kill":
		return each(func(n string) error { return f.Signal(n, syscall.SIGKILL) })
	case "freeze":
		return each(func(n string) error { return f.Signal(n, syscall.SIGSTOP) })
	case "thaw":
		return each(func(n string) error { return f.Signal(n, syscall.SIGCONT) })
	case "term":
		return each(func(n string) error { return f.Signal(n, syscall.SIGTERM) })
	case "restart":
		return each(f.Restart)
	case "lose-all":
		f.operators.lostAt.Store(f.operators.now())
		return f.forEachProcess(func(n string) error { return f.Signal(n, syscall.SIGKILL) })
	case "start-all":
		f.operators.restoredAt.Store(f.operators.now())
		return f.forEachProcess(f.Restart)
	case "lose-disk":
		return each(func(n string) error { return os.RemoveAll(f.processes[n].Data) })
	case "fault":
		us, _ := strconv.ParseInt(arg(2), 10, 64)
		return f.post("http://"+f.addr(arg(0))+"/lab/fault", backend.Fault{Mode: arg(1), Us: us})
	case "cut-off", "join":
		if len(st.Args) < 2 {
			return fmt.Errorf("usage: %s NAME PEER [PEER ...]", st.Verb)
		}
		f.network.SetPartition(f.expandNames(st.Args[:1]), f.expandNames(st.Args[1:]), st.Verb == "cut-off")
		return nil
	case "leave":
		f.setState(st.Args, "leaving")
		return f.notifyPlatform(ctx)
	case "platform":
		return f.post(f.Platform+"/lab/mode/"+arg(0), nil)
	case "zone":
		return f.post(fmt.Sprintf("http://%s/v1/zones/%s/%s", f.OperatorAddrs["node-1"], arg(1), arg(0)), nil)
	case "backends":
		shards, _ := strconv.Atoi(arg(1))
		if err := f.Backends(arg(0), shards, max(2, f.options.Shape.PerShard*f.options.Shape.Shards/max(shards, 1))*shards, nil); err != nil {
			return err
		}
		return f.notifyPlatform(ctx)
	case "race", "storm":
		n, _ := strconv.Atoi(arg(0))
		gap, _ := time.ParseDuration(arg(1))
		f.operators.sendEdits(ctx, n, gap, st.Verb == "race")
		return nil
	case "zone-orders":
		n, _ := strconv.Atoi(arg(1))
		gap, _ := time.ParseDuration(arg(2))
		f.commandedZones = append(f.commandedZones, arg(0))
		f.operators.sendZoneCommands(ctx, arg(0), n, gap)
		return nil
	case "seeds":
		// Only processes that start from now on get the new seeds.
		f.mu.Lock()
		defer f.mu.Unlock()
		f.seeds = nil
		for _, n := range st.Args {
			f.seeds = append(f.seeds, f.processes[n].mesh)
		}
		return nil
	case "upgrade", "downgrade":
		return each(func(n string) error { return f.switchRelease(n, st.Verb == "upgrade") })
	case "replace-core":
		return f.replaceCore(arg(0), arg(1))
	case "file-limit":
		// Writes that would extend a file beyond this size fail from now on; 0 removes the limit.
		maxBytes, err := strconv.ParseUint(arg(0), 10, 64)
		if err != nil {
			return fmt.Errorf("usage: file-limit BYTES NAME [NAME ...]: %w", err)
		}
		for _, n := range f.expandNames(st.Args[1:]) {
			if err := f.fileLimit(n, maxBytes); err != nil {
				return err
			}
		}
		return nil
	case "cut":
		shards, _ := strconv.Atoi(arg(1))
		return f.post("http://"+f.OperatorAddrs["node-1"]+"/v1/indexes/"+f.options.Shape.Index+"/cut", map[string]any{"cut": arg(0), "shards": shards})
	}
	return fmt.Errorf("verb %q is not supported on real processes", st.Verb)
}

// platformLag is the time until the stand-in platform's list shows a change, as in its default setting.
const platformLag = 300 * time.Millisecond

// expandNames expands a step's arguments to names of processes: "zone:z1" to everything in the zone, "core-*" to all
// running processes with the prefix, "owner" to the core that leadingCore returns.
func (f *Fleet) expandNames(args []string) []string {
	var out []string
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range args {
		zone, byZone := strings.CutPrefix(a, "zone:")
		if prefix, many := strings.CutSuffix(a, "*"); many {
			for name := range f.processes {
				if strings.HasPrefix(name, prefix) && !f.stopped[name] {
					out = append(out, name)
				}
			}
			continue
		}
		if a == "owner" {
			out = append(out, f.leadingCore())
			continue
		}
		if !byZone {
			out = append(out, a)
			continue
		}
		for i := range f.options.Shape.Cores {
			if f.options.Shape.Zone(i) == zone {
				out = append(out, fmt.Sprintf("core-%d", i))
			}
		}
		for _, n := range f.Nodes {
			if n.Zone == zone {
				out = append(out, n.Name)
			}
		}
		for _, s := range f.backends {
			if s.Zone == zone {
				out = append(out, s.ID)
			}
		}
	}
	return out
}

// setState sets the state of backends on the platform's list and records when they begin to drain.
func (f *Fleet) setState(ids []string, state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.backends {
		for _, id := range ids {
			if f.backends[i].ID == id {
				f.backends[i].State = state
				// The platform's list shows the state after its lag.
				f.drainingSince[id] = time.Now().Add(platformLag).UnixMicro()
			}
		}
	}
}

// addr returns the address of a backend, "" if it is unknown.
func (f *Fleet) addr(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.backends {
		if s.ID == id {
			return s.Addr
		}
	}
	return ""
}
