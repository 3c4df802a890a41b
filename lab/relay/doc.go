// Package relay simulates network faults between the processes of a test with TCP relays. Bytes between partitioned
// processes wait in the relay until the partition heals. A partition may block one direction only; connections may be
// reset or become half-open. A relay forwards to one process. The process that connects to the relay is identified by
// its loopback IP, or by the relay itself if the relay is reserved for one process.
package relay
