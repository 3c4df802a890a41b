// Package idempotency tracks idempotency keys in the memory of the nodes, so that a correction or part fetch
// that a caller repeats, even through another node, runs at most once.
//
// A key has up to eleven owners among the nodes, selected by rendezvous hashing. The node that received a
// request sends an admission request to all owners of its key, and the request runs only if a majority admits
// the key. Afterwards the node records the outcome at the owners, or releases the key if the request did not run.
//
// An owner that may have lost its record of a key replies that it is uncertain ("unsure"). This is the case
// after it started, thawed, was in the minority of a network partition, or became an owner through a change of
// the roster. Each of these events opens an epoch, in which the owner requests the records of the other
// owners. The owner is certain again once the owners that have handed over their records include a member of
// every earlier majority, or after the longest deadline plus a grace period.
//
// Searches and reads may run again. For them a single owner remembers for some time whether a key was used, so
// that a repeated request is charged to the retry budget (repeats.go).
//
// The inputs are the calls [Admit] and [RecordOutcome] and the messages between nodes. All state is in memory
// and owned by [Coordinator]. The design is explained in docs/design/inquiry-keys.md.
package idempotency
