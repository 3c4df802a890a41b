// Package relay is a TCP relay between the processes of a test, which simulates network faults: bytes between
// partitioned processes wait in the relay until the partition heals. A partition may be of one direction;
// connections may be reset, or left half open. Processes are identified by the loopback address from which they
// connect, or by the relay that they connect to.
package relay
