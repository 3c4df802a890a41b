// What a process is told of its machine and of its fleet's bounds beyond its
// place. There are no flags for it: it comes from a platform's settings. A zero
// is unknown, and the product's own figure holds.

package settings

// Machine is what the process may use.
type Machine struct {
	// CPUShare is the part of one processor.
	CPUShare float64
	MemoryMB int64
	// MaxFds is the largest number of open descriptors.
	MaxFds   int64
	LinkMbps float64
	DiskMB   int64
}

// Bounds are the fleet's times, in microseconds.
type Bounds struct {
	// DrainTimeout is how long a leaving server still serves, GracePeriod how long a process has to stop.
	DrainTimeout, GracePeriod int64
	// ConfigApply is within which a configuration must be in force, ZoneDrain within which a zone must be empty.
	ConfigApply, ZoneDrain int64
	// AckTimeout is how long an operator waits for an acknowledgement in all.
	AckTimeout int64
	// ContactTime is how long after trouble a process counts as in touch again, SyncTime as lost.
	ContactTime, SyncTime int64
	// AddressReuse is how soon another server may get a server's address.
	AddressReuse int64
	// LossSlack is how long a request that was read may stay unsent when its connection ends.
	LossSlack int64
	// RecoveryTime is how soon after a total loss the fleet must serve.
	RecoveryTime int64
	// SeedLag and ListLag are how old the list of cores and the list of servers may be.
	SeedLag, ListLag int64
}

// Retries are the bounds of requests sent to a further server, for all nodes
// together: in every window, for each pool, Ratio of its requests and Allowance.
type Retries struct {
	Ratio     float64
	Allowance float64
	Window    int64
}

// SlowStart bounds what a cold server is sent in a second: its rate times Overrun, and Tolerance.
type SlowStart struct{ Overrun, Tolerance float64 }
