// Package history records the operations of clients on replicated registers, with their begin, end and outcome, and
// checks the record for linearizability. A register is either the configuration, which is modified by compare-and-set
// on its version, or the drain state of one zone, which is set unconditionally.
package history
