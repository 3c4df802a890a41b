// Package check holds the twelve invariants of the project's brief, each about events that must never happen. They
// are checked on observations from outside the processes. The simulator and the fleet of real processes report the
// same events to a [Checker], which keeps the record and collects violations. It also counts how often each rule was
// checked, so that a run that never checked a rule is not mistaken for a pass.
package check
