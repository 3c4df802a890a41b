// Package idempotency keeps idempotency keys in the memory of the nodes that own them, so that a correction
// or part fetch that a caller repeats through another node runs once.
//
// A key has up to eleven owners among the nodes, by rendezvous hashing. The node that a request reached sends
// an admission request to all of them, and the request runs only if a majority admits its key. Later the
// node records the outcome at the owners, or releases the key if no backend took the request.
//
// An owner that cannot be sure that it would know of a key says so ("unsure"): one that just started, thawed,
// was in a minority or became owner when the roster changed. Each of these opens an epoch, in which the owner
// requests the records of the nodes that were owners before. It vouches for a key again once so many of them
// handed over that every earlier majority includes one, or after the longest deadline and a grace period.
//
// Searches and reads may run again. For them one owner remembers for a while whether a key was used, so that
// a repeat counts against the retry budget (repeats.go).
//
// Inputs are the calls [Admit] and [RecordOutcome] and the messages between nodes. All state is in memory
// and owned by [Coordinator]. docs/design/inquiry-keys.md has the reasons.
package idempotency
