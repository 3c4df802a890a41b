// Whether the cores are calm: a disk may be lost only while no other core is faulty or has just been, and no
// other fault may begin then.

package soak

import (
	"sync"
	"time"
)

// coreFaultGate counts the faults of the cores.
type coreFaultGate struct {
	mu       sync.Mutex
	faults   int
	endedAt  time.Time
	acquired bool
}

// begin records a fault, once no disk is being lost.
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

func (c *coreFaultGate) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults--
	c.endedAt = time.Now()
}

// tryAcquire acquires the right to lose a disk; false means that the cores are not calm.
func (c *coreFaultGate) tryAcquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.acquired || c.faults > 0 || time.Since(c.endedAt) < syncTime {
		return false
	}
	c.acquired = true
	return true
}

func (c *coreFaultGate) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acquired, c.endedAt = false, time.Now()
}
