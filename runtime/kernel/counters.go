package kernel

import (
	"sort"
	"sync"
	"sync/atomic"
)

// Counts holds a process's named counters and gauges. It is safe for concurrent use; the metrics page,
// the simulator and the tests read it.
type Counts struct{ byName sync.Map }

// NewCounts returns a Counts without any counter.
func NewCounts() *Counts { return &Counts{} }

// Of returns the counter with the given name and creates it on first use.
func (c *Counts) Of(name string) *atomic.Int64 {
	if v, ok := c.byName.Load(name); ok {
		return v.(*atomic.Int64)
	}
	v, _ := c.byName.LoadOrStore(name, new(atomic.Int64))
	return v.(*atomic.Int64)
}

// Add adds n to a counter.
func (c *Counts) Add(name string, n int64) { c.Of(name).Add(n) }

// Set sets a gauge to n. Counters and gauges share one set of names.
func (c *Counts) Set(name string, n int64) { c.Of(name).Store(n) }

// Each calls visit for each counter, sorted by name.
func (c *Counts) Each(visit func(name string, n int64)) {
	var names []string
	c.byName.Range(func(k, _ any) bool { names = append(names, k.(string)); return true })
	sort.Strings(names)
	for _, name := range names {
		visit(name, c.Of(name).Load())
	}
}
