// Package replica stores the control state. Each partition of the control state has a consensus group of a few
// replicas, which run on core processes that have a disk.
//
// # What a group agrees on
//
// A group does not keep a log of commands. It agrees on the newest value of one register: a version (a term and a
// sequence number) with a body, the log of the edits that produced the body, and the voters whose quorum must sync the
// version (wire.Versioned). Each version replaces the previous one completely, so a replica that missed any number of
// versions needs only the newest one, and there is nothing to compact.
//
// The algorithm is Raft reduced to a log of length one. In the terms of Paxos the term is the ballot,
// a vote is the promise of phase one, and Accept is phase two. Where the Raft paper has a name, this
// package uses it.
//
// # The life of a group
//
// A follower that receives no messages from a leader first asks the voters whether they would vote for it in the next
// term (pre-vote), and then requests their votes for that term. Every reply contains the voter's newest version. The
// winner adopts the newest version among those replies and its own, commits it again under its own term, and serves
// only after that ([Group.becomeLeader]). From then on it has at most one proposal in flight. Edits that arrive in the
// meantime are queued and become one batch, in which each edit is validated against the result of the edits before it.
// A proposal is committed once a quorum has synced it. Heartbeats tell the followers which version is committed.
//
// A leader steps down when it receives a message of a newer term, when no heartbeat round that it sent within
// [StepDownAfter] was answered by a majority, when its proposal isn't committed in time, when its process was
// suspended, or when another group, rebuilt by an operator, has committed a newer version.
//
// # Inputs, outputs, state
//
// [Host] is the plug-in of a core process. It owns the replica's identity, its files and one [Group] for
// each partition, and handles its inputs in [Host.Step]: messages from other replicas, edits, lease
// requests, pulls, the tick, and the results of disk writes. A step sends messages, writes files, sets the
// timer of the next tick and emits [Committed] and [Replied]. It uses only the clock and the random source
// of its kernel.Context, so that the simulator and the model checker can run the same code.
//
// The kinds of messages:
//
//	wire.KindVote, KindVoteReply                        elections, including pre-votes
//	wire.KindAccept, KindAcceptReply                    a version to sync: proposal, catch-up, learner
//	wire.KindLeaderHeartbeat, KindLeaderHeartbeatReply  liveness, the committed version, contact, transfer
//	wire.KindEdit, KindEditReply                        an edit, or a read that a majority must confirm
//	wire.KindLeaseRequest, KindLeaseReply               leases of singleton tasks
//	wire.KindLeave                                      a stopping voter asks to be replaced
//	wire.KindBootstrap, KindBootstrapReply              forming the groups on empty disks
//	wire.KindRebuild, KindRebuildReply                  rebuilding a group by an operator's command
//	wire.KindPull, KindPullReply                        configuration sync: committed versions for any process
//	wire.KindStatusRequest, KindStatusReply             the status shown to operators
//
// # Invariants
//
//   - One leader per term: a voter grants each term to at most one candidate, and a vote is synced before it
//     is sent. No candidate leads before its own vote is synced: after a restart it could otherwise request
//     votes for the same term again and assign one version number to two different contents.
//   - Fencing: a replica that voted in a term accepts no version from the leader of an older term.
//   - A version is synced before it is acknowledged, and an edit is acknowledged once a majority has
//     synced the version that contains it.
//   - Leader completeness: votes are counted against the voters of the newest version found by the election,
//     so the majority that elects a leader shares a voter with every majority that committed a version.
//   - Reads and rejections are answered only after a majority has answered a heartbeat round that was sent after they
//     arrived: a leader that is cut off by a network partition must not answer from a state that may have been
//     superseded.
//   - One membership change at a time, with joint quorums: the first version of a change needs a majority of
//     the old voters and a majority of the new voters; the next version needs the new voters alone, and only
//     then may the next change begin. A new voter has synced the newest version before it may vote.
//   - A lease ends before any later leader may grant it to another holder.
//
// Some of these invariants are checked at run time: see invariants.go. The invariants hold only as long as no disk
// reverts to older content. A leader detects such a rollback if it happens within the leader's term, and reports it.
//
// # Files on disk
//
//	seat                        the replica's identity, created on an empty disk
//	formation                   the consent to a bootstrap, and whether the bootstrap is complete
//	part-P.promise              the newest vote in partition P
//	part-P.stamp-TERM-SEQ       a version of partition P; the newest [VersionsKept] are kept
//
// # Sources
//
// D. Ongaro, Consensus: Bridging Theory and Practice (2014): elections and commitment (section 3), leadership
// transfer (3.10), membership changes by joint consensus (4.3), learners that catch up first (4.2.1),
// linearizable reads by a heartbeat round (6.4), pre-vote (9.6). L. Lamport, Paxos Made Simple (2001).
// C. Gray, D. Cheriton, Leases (1989). The names follow etcd's raft package where the concepts match.
//
// Times are whole microseconds (clock.Micros) since the start of the process, except those whose name contains
// wall, which are times of day.
package replica
