// Package healthcheck watches the backends and reports their health to the other nodes.
//
// Each backend is checked over HTTP by a few nodes, its observers, which are chosen by rendezvous
// hashing, and by every node that has ejected it. What a node observes by checks and on the request
// path ([snapshot.Gauge]) becomes its health report: an entry of the mesh, announced when it changes
// and no more often than [ReportInterval]. Package snapshot merges the reports of all nodes into the
// health state of a backend.
//
// The plug-in owns the state of its checks. It reads the current snapshot, and reads and resets the
// gauges.
package healthcheck
