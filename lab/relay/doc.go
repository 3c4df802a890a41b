// Package relay simulates network faults between the processes of a test with TCP relays. Bytes between partitioned
// processes wait in the relay until the partition heals. A partition may block one direction only; connections may be
// reset or become half-open. The process that connects is identified by its loopback IP, or by a relay that only it
// uses; the process that it connects to by the relay.
package relay
