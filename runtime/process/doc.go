// Package process is the driver of a real process: it runs one kernel on this machine's clock,
// network and disk and carries out the output of each step.
//
// One goroutine, the loop, steps the kernel. Inputs reach it through a bounded inbox: frames from the
// readers of connections, results from the disk and from HTTP fetches, and calls of the process's own
// API. Timers that are due are handled between inputs. Nothing in the loop blocks: frames to send
// and files to write go to bounded queues that are served by goroutines of their own.
//
// The package owns the connections to other processes (TCP, TLS 1.3 with a key for each process, and
// a proof of the fleet's secret), the data folder with its lock, and the calls in flight. It detects
// that the process was frozen, and notifies the kernel before it handles any other input.
package process
