// Package healthcheck checks the health of the backends and reports it to the other nodes.
//
// Each backend is checked over HTTP by a few nodes, its observers, which are selected by rendezvous
// hashing, and by every node that has ejected it. Each node combines the results of its checks with its
// observations on the request path ([snapshot.Gauge]) in a health report. The report is an entry of the
// mesh, which is announced when it changes, at most once per [ReportInterval]. Package snapshot merges the
// reports of all nodes into the health state of a backend.
//
// The plug-in owns the state of its checks. It reads the current snapshot and reads and resets the gauges.
package healthcheck
