// Package model is a bounded model checker for the control state's consensus code. It drives the product's own
// replica code, one process per replica, through the interleavings of messages, disk syncs, crashes, disk losses,
// freezes and operator calls up to a stated bound, and checks the invariants in every state. Beyond the bound it
// runs random walks and shrinks a failing schedule. The input is a [Config]; [Explorer.Explore] returns a [Report]
// with the shortest failing schedule. An [Explorer] caches every process and message that it has encountered.
package model
