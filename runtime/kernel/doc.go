// Package kernel is the deterministic core of every wallport process.
//
// A process is one [Kernel]: a set of plug-ins that register themselves by role. A driver feeds it
// one [Input] at a time with [Kernel.Step]: a received frame, a timer that is due, a finished write
// or fetch, a call of the process's own API. Each step returns an [Output]: what to send, dial,
// write, fetch, reply and log, and which timers to set.
//
// The kernel owns the plug-ins, their random source, the process's counters and the transfers of
// messages larger than a frame. It owns no clock, socket or file: those belong to the driver. There
// is one for real processes (package process) and one in the simulator (lab/sim), and plug-ins
// cannot tell which of them they run under. Equal inputs, times and seeds give equal outputs.
package kernel
