// Package model is a bounded model checker for the control state's consensus code. It drives the product's own
// replicas, one process each, through the interleavings of messages, syncs, crashes, lost disks, freezes and
// operators' calls up to a stated bound, and checks its invariants in every state; beyond the bound it walks at
// random and shrinks a failing schedule. Input is a [Config]; the output of [Explorer.Explore] is a [Report] with
// the shortest failing schedule. An [Explorer] owns the processes and messages it has met.
package model
