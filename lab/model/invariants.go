// The invariants. Each is checked after every step that changes the data on which the invariant depends.

package model

import (
	"fmt"
	"slices"

	"wallport/lab/history"
	"wallport/runtime/wire"
)

// Invariant is the name of a property that must hold in every state.
type Invariant string

// Invariants of the replicated configuration and of the answers to operators.
const (
	InvariantOneVersion     Invariant = "one version for each term and sequence"
	InvariantOneLeader      Invariant = "one leader for each term"
	InvariantDurableCommand Invariant = "an acknowledged command is in every later committed version"
	InvariantRefusedCommand Invariant = "a refused command is in no committed version"
	InvariantMajority       Invariant = "an acknowledged value is synced by a majority of the voters in force"
	InvariantLinearizable   Invariant = "operators' histories are linearizable"
	InvariantOneAnswer      Invariant = "a command is never both accepted and refused"
	InvariantChain          Invariant = "a committed version contains the commands of the committed versions before it"
	InvariantReadable       Invariant = "a body can be read"
	InvariantCommittedSame  Invariant = "a committed body equals the proposed one"
)

// Violation is the error for an invariant that does not hold.
type Violation struct {
	Invariant Invariant
	Text      string
}

func (v *Violation) Error() string { return string(v.Invariant) + ": " + v.Text }

func violation(i Invariant, format string, args ...any) error {
	return &Violation{Invariant: i, Text: fmt.Sprintf(format, args...)}
}

func versionText(v wire.Version) string { return fmt.Sprintf("%d.%d", v.Term, v.Seq) }

// checkSent checks a message that a replica sends: there is at most one leader per term, and a proposed version is
// valid.
func (x *Explorer) checkSent(s *system, f *frame) error {
	if f.leader != "" {
		switch other, known := s.record.leaders[f.term]; {
		case !known:
			s.record = s.record.withLeader(f.term, f.leader)
			x.Seen.Leaders++
		case other != f.leader:
			return violation(InvariantOneLeader, "%s and %s both lead term %d", other, f.leader, f.term)
		}
	}
	if f.version == nil {
		return nil
	}
	return x.checkProposed(s, *f.version)
}

// checkProposed checks that a proposed version has a readable body and that no other content was proposed under the
// same term and sequence number.
func (x *Explorer) checkProposed(s *system, v wire.Versioned) error {
	sum := versionDigest(v)
	if x.versions[sum] == nil {
		c, ok := contentsOf(v.Body)
		if !ok {
			return violation(InvariantReadable, "version %s has a body that cannot be read", versionText(v.Version))
		}
		x.versions[sum] = &knownVersion{Versioned: v, contents: c}
		if len(v.PreviousVoters) > 0 && !sameVoters(v.PreviousVoters, v.Voters) {
			x.Seen.MemberChanges++
		}
	}
	switch other, known := s.record.versions[v.Version]; {
	case !known:
		s.record = s.record.withProposed(v.Version, sum)
	case other != sum:
		return violation(InvariantOneVersion, "version %s was proposed with two different contents", versionText(v.Version))
	}
	return nil
}

// checkCommitted checks the version that a replica considers committed, if the schedule has not recorded it yet: it
// must equal what was proposed, contain every acknowledged command and contain no refused one.
func (x *Explorer) checkCommitted(s *system, p *process) error {
	if p.committed.Term == 0 || slices.Contains(s.record.committed, p.committed) {
		return nil
	}
	c, ok := contentsOf(p.body)
	if !ok {
		return violation(InvariantReadable, "committed version %s has a body that cannot be read", versionText(p.committed))
	}
	if known := x.proposal(s, p.committed); known != nil && string(known.Body) != string(p.body) {
		return violation(InvariantCommittedSame, "version %s is committed with a different body than was proposed", versionText(p.committed))
	}
	s.record = s.record.withCommitted(p.committed)
	x.Seen.Commits++
	for number, at := range s.record.acknowledged {
		if err := x.checkIncluded(number, at, p.committed, c); err != nil {
			return err
		}
	}
	for _, number := range s.record.refused {
		if x.includes(c, number) {
			return violation(InvariantRefusedCommand, "%s was refused and is in the later committed version %s", x.commands[number].Name, versionText(p.committed))
		}
	}
	return x.checkChain(s)
}

// proposal returns the content that was proposed as version v, nil if the schedule has recorded no proposal of v.
func (x *Explorer) proposal(s *system, v wire.Version) *knownVersion {
	return x.versions[s.record.versions[v]]
}

// includes reports whether contents include a command. It returns false for reads and for commands that another
// command may undo; the linearizability check covers these commands.
func (x *Explorer) includes(c contents, number int) bool {
	o := &x.commands[number]
	if o.Kind == ChangeCommand {
		return slices.Contains(c.commands, o.Name)
	}
	return o.Kind == DrainCommand && !x.restores[o.Zone] && slices.Contains(c.drained, o.Zone)
}

// irreversible reports whether a command is a change, or a drain of a zone that no other command of the configuration
// restores.
func (x *Explorer) irreversible(number int) bool {
	o := &x.commands[number]
	return o.Kind == ChangeCommand || o.Kind == DrainCommand && !x.restores[o.Zone]
}

// checkIncluded checks that a committed version includes an irreversible command if the command was acknowledged at
// that version or at an older one.
func (x *Explorer) checkIncluded(number int, at, committed wire.Version, c contents) error {
	if x.irreversible(number) && !newer(at, committed) && !x.includes(c, number) {
		return violation(InvariantDurableCommand, "%s was acknowledged at %s and is not in %s", x.commands[number].Name, versionText(at), versionText(committed))
	}
	return nil
}

// checkChain checks that each committed version includes all commands of the committed version before it.
func (x *Explorer) checkChain(s *system) error {
	var before *knownVersion
	for _, at := range s.record.committed {
		v := x.proposal(s, at)
		if v == nil {
			continue
		}
		if before != nil {
			for _, name := range before.contents.commands {
				if !slices.Contains(v.contents.commands, name) {
					return violation(InvariantChain, "%s is in %s and not in %s", name, versionText(before.Version), versionText(at))
				}
			}
		}
		before = v
	}
	return nil
}

func (x *Explorer) checkRefused(s *system, number int) error {
	s.record = s.record.withRefused(number)
	x.Seen.Refused++
	for _, at := range s.record.committed {
		if v := x.proposal(s, at); v != nil && x.includes(v.contents, number) {
			return violation(InvariantRefusedCommand, "%s was refused and is in version %s", x.commands[number].Name, versionText(at))
		}
	}
	return nil
}

func (x *Explorer) checkAcknowledged(s *system, number int, r wire.EditReply) error {
	s.record = s.record.withAcknowledged(number, r.Version)
	x.Seen.Acknowledged++
	v := x.proposal(s, r.Version)
	if v == nil {
		return violation(InvariantMajority, "%s was acknowledged at %s, which no replica proposed", x.commands[number].Name, versionText(r.Version))
	}
	if !x.syncedByMajority(s, v, v.Voters, number) || len(v.PreviousVoters) > 0 && !x.syncedByMajority(s, v, v.PreviousVoters, number) {
		return violation(InvariantMajority, "%s was acknowledged at %s before a majority of the voters had synced it", x.commands[number].Name, versionText(r.Version))
	}
	for _, at := range s.record.committed {
		if known := x.proposal(s, at); known != nil {
			if err := x.checkIncluded(number, r.Version, at, known.contents); err != nil {
				return err
			}
		}
	}
	return nil
}

// syncedByMajority reports whether, on a majority of the voters, the newest version synced to disk is v or a newer
// version. For an irreversible command, that newest version must also include the command.
func (x *Explorer) syncedByMajority(s *system, v *knownVersion, voters []wire.Replica, number int) bool {
	n := 0
	for _, voter := range voters {
		at := s.record.synced[voter.ID]
		known := x.proposal(s, at)
		if known != nil && !newer(v.Version, at) && (x.includes(known.contents, number) || !x.irreversible(number)) {
			n++
		}
	}
	return n > len(voters)/2
}

func sameVoters(a, b []wire.Replica) bool {
	return slices.EqualFunc(a, b, func(a, b wire.Replica) bool { return a.ID == b.ID })
}

// checkHistory checks the operators' history so far for linearizability. Results are cached per history.
func (x *Explorer) checkHistory(s *system) error {
	if err, known := x.histories[s.record.eventsSum]; known {
		return err
	}
	h := &history.History{}
	begins, ended := map[int]int64{}, map[int]bool{}
	for i, e := range s.record.events {
		if !e.end {
			begins[e.command] = int64(i)
			continue
		}
		ended[e.command] = true
		x.addEnded(h, e, begins[e.command], int64(i))
	}
	for number, begin := range begins {
		if !ended[number] && x.commands[number].Kind != ReadCommand {
			op := x.changeOf(number)
			op.Begin = begin
			h.Add(op)
		}
	}
	var err error
	if errs := h.Check(); len(errs) > 0 {
		err = violation(InvariantLinearizable, "%v", errs[0])
	}
	x.histories[s.record.eventsSum] = err
	return err
}

func (x *Explorer) addEnded(h *history.History, e event, begin, end int64) {
	operations := []history.Operation{}
	if e.reading != nil {
		operations = x.readsOf(e.command, e.reading)
	} else {
		operations = append(operations, x.changeOf(e.command))
	}
	for _, op := range operations {
		op.Begin, op.End, op.Outcome = begin, end, history.Refused
		if e.accepted {
			op.Outcome = history.Accepted
		}
		h.Add(op)
	}
}
