package settings

import "wallport/runtime/clock"

// Machine is what a platform lets the process use of its machine. A zero is unknown.
type Machine struct {
	// CPUShare is the share of one processor.
	CPUShare float64
	MemoryMB int64
	// MaxFds is the largest number of open descriptors.
	MaxFds   int64
	LinkMbps float64
	DiskMB   int64
}

// Tolerance is what the fleet may lose at once and still keep its guarantees.
type Tolerance struct {
	// Machines is the number of machines with a disk; Zones the number of complete zones.
	Machines, Zones int
}

// Bounds are the fleet's time limits. A zero is unknown: the product's own constant holds.
type Bounds struct {
	// DrainTimeout is how long a draining backend still serves, GracePeriod how long a process has to stop.
	DrainTimeout, GracePeriod clock.Micros
	// ConfigApply is within which a configuration must be in force, ZoneDrain within which a zone must be drained.
	ConfigApply, ZoneDrain clock.Micros
	// AckTimeout is how long an operator waits for an acknowledgement in all.
	AckTimeout clock.Micros
	// ContactTime is how long after a fault a process counts as in contact again, SyncTime as lost.
	ContactTime, SyncTime clock.Micros
	// AddressReuse is how soon another backend may get a backend's address.
	AddressReuse clock.Micros
	// LossSlack is how long a request that was read may stay unsent when its connection ends.
	LossSlack clock.Micros
	// RecoveryTime is how soon after a total loss the fleet must serve.
	RecoveryTime clock.Micros
	// SeedLag and ListLag are how old the list of cores and the list of backends may be.
	SeedLag, ListLag clock.Micros
}

// Retries bounds the requests that are sent to a further backend, for all nodes together: in every
// window and for each pool Ratio of its requests, and Allowance beyond that.
type Retries struct {
	Ratio     float64
	Allowance float64
	Window    clock.Micros
}

// SlowStart bounds what a backend that is warming up is sent in a second: its rate times Overrun, and
// Tolerance beyond that.
type SlowStart struct{ Overrun, Tolerance float64 }
