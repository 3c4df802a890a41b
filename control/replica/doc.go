// Package replica keeps the control state: consensus groups of a few replicas each, one group for
// every partition, on the machines that have a disk.
//
// # What a group agrees on
//
// A group does not keep a log of commands. It agrees on the newest value of one register: a version
// (a term and a sequence number) with a body, the log of the edits that led to it and the voters that
// it binds (wire.Versioned). Each version replaces the one before it completely, so a replica that
// missed any number of versions needs only the newest one, and there is nothing to compact.
//
// The algorithm is Raft reduced to a log of length one. In the terms of Paxos the term is the ballot,
// a vote is the promise of phase one, and Accept is phase two. Where the Raft paper has a name, this
// package uses it.
//
// # The life of a group
//
// A follower that hears no leader asks whether it would be given a term (pre-vote), then asks for the
// term. Every reply tells how new the voter's version is. The winner adopts the newest version that it
// was told of, commits it again under its own term, and serves only after that ([Group.becomeLeader]).
// From then on it has at most one proposal under way: edits that arrive meanwhile are queued and become
// one batch, which is validated edit by edit against the outcome of those before it. A proposal is
// committed once a quorum has synced it. Heartbeats tell the followers which version is committed.
//
// A leader steps down when a message shows it a newer term, when no majority has answered a heartbeat
// round that was sent within [StepDownAfter], when its proposal isn't taken in time, when its process
// was suspended, or when another group, rebuilt by an operator, has committed a newer version.
//
// # Inputs, outputs, state
//
// [Host] is the plug-in of a core process. It owns the replica's identity, its files and one [Group] for
// each partition, and takes its inputs in [Host.Step]: messages of other replicas, edits, requests for
// leases, pulls, the tick, and the results of disk writes. A step sends messages, writes files, sets the
// tick's timer and emits [Committed] and [Replied]. It reads no clock and no random source but those of
// its kernel.Context, so that the simulator and the model checker run the same code.
//
// The kinds of messages:
//
//	wire.KindVote, KindVoteReply                        elections, pre-votes among them
//	wire.KindAccept, KindAcceptReply                    a version to sync: proposal, catch-up, learner
//	wire.KindLeaderHeartbeat, KindLeaderHeartbeatReply  liveness, the committed version, contact, transfer
//	wire.KindEdit, KindEditReply                        an edit, or a read that a majority confirms
//	wire.KindLeaseRequest, KindLeaseReply               leases of singleton tasks
//	wire.KindLeave                                      a stopping voter asks to be replaced
//	wire.KindBootstrap, KindBootstrapReply              forming the groups on empty disks
//	wire.KindRebuild, KindRebuildReply                  forming a group anew by an operator's command
//	wire.KindPull, KindPullReply                        configuration sync: committed versions for any process
//	wire.KindStatusRequest, KindStatusReply             what operators are shown
//
// # Invariants
//
//   - One leader per term: a voter gives each term to one candidate, and a vote is synced before it is sent.
//     No candidate leads before its own vote is synced: restarted, it could otherwise ask for the same
//     term again and give one version number to two contents.
//   - Fencing: a replica that voted in a term takes no version of an older one.
//   - A version is synced before it is acknowledged, and an edit is acknowledged once a majority has
//     synced the version that contains it.
//   - Leader completeness: an election is counted by the voters of the newest version that was found, so
//     its majority shares a voter with every majority that committed a version.
//   - Reads and rejections are answered only after a majority has answered a heartbeat round that was sent
//     after they came: a partitioned leader answers nothing from a state that may have been replaced.
//   - One membership change at a time, with joint quorums: the first version of a change needs a majority of
//     the voters before it and of those after it; the next version needs the new voters alone, and only
//     then the next change may begin. A new voter has synced the newest version before it may vote.
//   - A lease ends before any later leader may grant it to another holder.
//
// Some of them are checked while the code runs: invariants.go. They hold as long as a disk never returns
// to an older content; a leader detects that within its term and reports it.
//
// # Files on disk
//
//	seat                        the replica's identity, made on an empty disk
//	formation                   consent to a bootstrap, and whether it is complete
//	part-P.promise              the newest vote in partition P
//	part-P.stamp-TERM-SEQ       a version of partition P; the newest [VersionsKept] stay
//
// # Sources
//
// D. Ongaro, Consensus: Bridging Theory and Practice (2014): elections and commitment (section 3), leadership
// transfer (3.10), membership changes by joint consensus (4.3) and learners that catch up first (4.2.1),
// linearizable reads by a heartbeat round (6.4), pre-vote (9.6). L. Lamport, Paxos Made Simple (2001).
// C. Gray, D. Cheriton, Leases (1989). The names follow etcd's raft package where the concepts agree.
//
// Times are whole microseconds (clock.Micros), from the start of the process unless a name says wall.
package replica
