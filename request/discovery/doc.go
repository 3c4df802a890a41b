// Package discovery reads the platform's list of backends and announces it to all nodes.
//
// Only one node at a time reads the list, so that the fleet stays within its allowance of calls to the
// platform's API. That node holds a lease, which the leader of the lease's partition of the control state
// grants and the holder renews. If no list has been announced for StaleAfter, for example because no core is
// reachable, nodes read it without the lease, in the order of their ranks. A failed or empty response is
// never announced as a list.
//
// The inputs are the mesh and the platform's HTTP API. The output is an entry of the mesh: the list itself
// ([mesh.EntryBackendList]) if it has changed, or else a record that it was read ([mesh.EntryPolled]).
// The state is kept in memory: the lease and the last announced list's contents.
package discovery
