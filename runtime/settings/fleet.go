package settings

import "wallport/runtime/clock"

// Machine holds the limits on the resources of the machine that the process may use. 0 means unknown.
type Machine struct {
	// CPUShare is the usable share of one processor.
	CPUShare float64
	MemoryMB int64
	// MaxFds is the largest number of open file descriptors.
	MaxFds   int64
	LinkMbps float64
	DiskMB   int64
}

// Tolerance is the loss that the fleet must tolerate at one time without breaking its guarantees.
type Tolerance struct {
	// Machines is the number of lost machines with a disk; Zones is the number of completely lost zones.
	Machines, Zones int
}

// Bounds are the fleet's time limits. 0 means unknown: the product's own constant then applies.
type Bounds struct {
	// DrainTimeout is how long a draining backend still serves. GracePeriod is how long a process may take to
	// stop.
	DrainTimeout, GracePeriod clock.Micros
	// ConfigApply is the time within which a configuration must be in force, ZoneDrain the time within
	// which a zone must be drained.
	ConfigApply, ZoneDrain clock.Micros
	// AckTimeout is the total time that an operator waits for an acknowledgement.
	AckTimeout clock.Micros
	// ContactTime is how long after the end of a fault a process counts as being in contact again. SyncTime is
	// how long a process that had a fault still counts as lost after it runs again.
	ContactTime, SyncTime clock.Micros
	// AddressReuse is the least time after which a backend's address may be assigned to another backend.
	AddressReuse clock.Micros
	// LossSlack is the longest time after which a request that was read, but not sent to a backend, may be lost
	// because its connection ends.
	LossSlack clock.Micros
	// RecoveryTime is the time within which the fleet must serve again after a total loss.
	RecoveryTime clock.Micros
	// SeedLag and ListLag are the greatest ages of the list of cores and of the list of backends.
	SeedLag, ListLag clock.Micros
}

// Retries bounds the requests that are retried on another backend, summed over all nodes. For each pool and
// window the bound is Ratio times the pool's requests, plus Allowance.
type Retries struct {
	Ratio     float64
	Allowance float64
	Window    clock.Micros
}

// SlowStart bounds the requests per second sent to a backend that is warming up: the backend's slow-start rate
// times Overrun, plus Tolerance.
type SlowStart struct{ Overrun, Tolerance float64 }
