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
	// DrainUs is how long a leaving server still serves, GraceUs how long a process has to stop.
	DrainUs, GraceUs int64
	// ApplyUs is within which a configuration must be in force, EmptyUs within which a zone must be empty.
	ApplyUs, EmptyUs int64
	// AckUs is how long an operator waits for an acknowledgement in all.
	AckUs int64
	// ContactUs is how long after trouble a process counts as in touch again, SyncUs as lost.
	ContactUs, SyncUs int64
	// AddressReuseUs is how soon another server may get a server's address.
	AddressReuseUs int64
	// LossUs is how long a request that was read may stay unsent when its connection ends.
	LossUs int64
	// RecoverUs is how soon after a total loss the fleet must serve.
	RecoverUs int64
	// SeedLagUs and ListLagUs are how old the list of cores and the list of servers may be.
	SeedLagUs, ListLagUs int64
}

// Retries are the bounds of requests sent to a further server, for all nodes
// together: in every window, for each pool, Ratio of its requests and Allowance.
type Retries struct {
	Ratio     float64
	Allowance float64
	WindowUs  int64
}

// Ramp bounds what a cold server is sent in a second: its rate times Overrun, and Tolerance.
type Ramp struct{ Overrun, Tolerance float64 }
