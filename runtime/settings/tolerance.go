// What a platform tells of the deployment that a process is part of: how much
// may be lost at once, and whether the whole system starts for the first time.

package settings

// Tolerance is what the fleet may lose at once and still keep its promises.
type Tolerance struct {
	// Machines is the number of machines with a disk; Zones the number of whole zones.
	Machines, Zones int
}

// Voters is the number of voting replicas that a partition's group should have.
func (e *Settings) Voters() int {
	if !e.BootstrapKnown {
		return 3
	}
	return 2*max(0, e.Tolerance.Machines) + 1
}
