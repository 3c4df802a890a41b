// Whether the cores are calm: a disk may be lost only while no other core is in
// trouble, or has been a short while before, and nothing else may begin then.

package soak

import (
	"sync"
	"time"
)

// calm counts the troubles of the cores.
type calm struct {
	mu      sync.Mutex
	under   int
	endedAt time.Time
	claimed bool
}

// begin notes a trouble, once no disk is being lost.
func (c *calm) begin() {
	for {
		c.mu.Lock()
		if !c.claimed {
			c.under++
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *calm) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.under--
	c.endedAt = time.Now()
}

// claim gives the right to lose a disk; false is that the cores are not calm.
func (c *calm) claim() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claimed || c.under > 0 || time.Since(c.endedAt) < syncTime {
		return false
	}
	c.claimed = true
	return true
}

func (c *calm) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claimed, c.endedAt = false, time.Now()
}
