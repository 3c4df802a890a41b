// Package history records what clients asked of replicated registers and what
// they were answered, with begin and end, and checks the record for
// linearizability. A register is the configuration, which is changed by orders
// built on a version, or one zone's drain state, which is set.
package history
