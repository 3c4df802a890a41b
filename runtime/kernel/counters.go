// Counts are the process's named counters: cheap to raise from any thread,
// read by the metrics page, the simulator and the tests.

package kernel

import (
	"crypto/ed25519"
	"encoding/hex"
	"sort"
	"sync"
	"sync/atomic"
)

// Counts maps names to counters.
type Counts struct{ m sync.Map }

// NewCounts makes an empty set.
func NewCounts() *Counts { return &Counts{} }

// Of returns the counter of a name, made at first use.
func (c *Counts) Of(name string) *atomic.Int64 {
	if v, ok := c.m.Load(name); ok {
		return v.(*atomic.Int64)
	}
	v, _ := c.m.LoadOrStore(name, new(atomic.Int64))
	return v.(*atomic.Int64)
}

// Add raises a counter.
func (c *Counts) Add(name string, n int64) { c.Of(name).Add(n) }

// Set puts a gauge.
func (c *Counts) Set(name string, n int64) { c.Of(name).Store(n) }

// Each visits the counters in order of their names.
func (c *Counts) Each(f func(name string, n int64)) {
	var names []string
	c.m.Range(func(k, _ any) bool { names = append(names, k.(string)); return true })
	sort.Strings(names)
	for _, n := range names {
		f(n, c.Of(n).Load())
	}
}

// Key is a process's Ed25519 identity, made anew at each start.
type Key struct {
	Public  ed25519.PublicKey
	Private ed25519.PrivateKey
}

// KeyFrom derives a key from 32 bytes of seed.
func KeyFrom(seed []byte) Key {
	p := ed25519.NewKeyFromSeed(seed)
	return Key{Public: p.Public().(ed25519.PublicKey), Private: p}
}

// Fingerprint names a public key in logs and tables.
func Fingerprint(pub []byte) string {
	if len(pub) < 8 {
		return ""
	}
	return hex.EncodeToString(pub[:8])
}
