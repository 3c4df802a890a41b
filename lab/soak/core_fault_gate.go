// Mutual exclusion between the loss of a core's data and other faults of cores: a disk may be lost only while no core
// is or recently was faulty, and no other fault of a core may begin during the loss.

package soak

import (
	"sync"
	"time"
)

// coreFaultGate counts the active faults of cores. acquired means that a core is losing its data.
type coreFaultGate struct {
	mu       sync.Mutex
	faults   int
	endedAt  time.Time
	acquired bool
}

// begin records the start of a fault; it first waits until no core is losing its data.
func (c *coreFaultGate) begin() {
	for {
		c.mu.Lock()
		if !c.acquired {
			c.faults++
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// end records the end of a fault.
func (c *coreFaultGate) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults--
	c.endedAt = time.Now()
}

// tryAcquire acquires the right to delete a core's data; false means that a core is, or was within syncTime, faulty.
func (c *coreFaultGate) tryAcquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.acquired || c.faults > 0 || time.Since(c.endedAt) < syncTime {
		return false
	}
	c.acquired = true
	return true
}

// release ends the loss of a core's data; the loss counts as a fault that ends now.
func (c *coreFaultGate) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acquired, c.endedAt = false, time.Now()
}
