// Package discovery reads the platform's list of backends and announces it to all nodes.
//
// One node at a time reads the list, so that the fleet stays within its allowance of calls of the
// platform. That node holds a lease, which the leader of the lease's partition grants and the
// holder renews. Where no core can be reached, the nodes read by rank after a time-out. A failed or
// empty response proves nothing and changes nothing.
//
// The only input besides the mesh is the platform's HTTP API; the output is an entry of the mesh
// with the list ([mesh.EntryListing]) when it has changed, or one that says that it was read
// ([mesh.EntryPolled]). The state is in memory: the lease, and what the last read list said.
package discovery
