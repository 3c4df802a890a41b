// Package check holds the twelve invariants of the brief: what must never happen, checked from what was observed
// from outside. The simulator and the fleet of real processes report the same events to a [Checker], which owns
// the record and collects violations. It counts how often each point was tested, so that a run which provoked
// nothing cannot pass for a proof.
package check
