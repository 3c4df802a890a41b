// Package sim runs the product's own state machines on simulated time, network,
// disks and clocks.
//
// Input is a scenario (package script) and a seed. A run is a function of the
// two: every random number comes from the seed, events run one at a time in the
// order of their time and number, and nothing depends on the machine, so a run
// replays exactly. Output is a [Result]: counts, the digest of all events, and
// what the checks found.
//
// A [Simulation] owns the event queue, the processes with their kernels, disks and
// clocks, and the network between them. It has two uses:
//
//   - a fleet of search nodes (files world_*.go) with stand-ins for servers, the
//     platform, callers and operators, checked by package check as it runs;
//   - a day on the users' platform (files day_*.go; a scenario asks for it by
//     "set site NAME") with machines, backends, clients and operators that
//     behave as the platform does. It writes a journal, which package rules
//     checks at the end.
//
// The files judge_*.go hold checks that need the simulator's own knowledge, such
// as which processes are running; measure_*.go count frames, bytes and delays of
// fleets of different sizes.
//
// The method is deterministic simulation testing, as in FoundationDB ("Testing
// Distributed Systems w/ Deterministic Simulation", Will Wilson, 2014).
package sim
