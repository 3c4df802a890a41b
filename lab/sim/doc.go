// Package sim is a deterministic simulator: it runs the product's own state
// machines on simulated time, network, disks and clocks.
//
// The input is a scenario (package script) and a seed. A run depends only on
// these two: every random number comes from the seed, events run one at a time
// in the order of their time and sequence number, and nothing depends on the
// machine. A run can therefore be replayed exactly. The output is a [Result]:
// counts, the digest of all events, and the violations that the checks found.
//
// A [Simulation] owns the event queue, the processes with their kernels, disks
// and clocks, and the network between them. It has two modes:
//
//   - a fleet of search nodes (files fleet_*.go) with models of servers, the
//     platform, callers and operators, which package check checks as it runs;
//   - a day on the users' platform (files day_*.go, selected by "set site NAME"
//     in the scenario) with machines, backends, clients and operators that
//     behave like those of the platform. It writes a journal, which package
//     rules checks at the end.
//
// The files check_*.go contain checks that need the simulator's own knowledge,
// such as which processes are running. The files measure_*.go measure frames,
// bytes and delays in fleets of different sizes.
//
// The method is deterministic simulation testing, as in FoundationDB ("Testing
// Distributed Systems w/ Deterministic Simulation", Will Wilson, 2014).
package sim
