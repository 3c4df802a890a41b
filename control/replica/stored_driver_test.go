// A core that runs on the files of a data folder. Every write is executed immediately and in order, and the next
// process can start on the resulting files.

package replica

import (
	"maps"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

const storedFolder = "testdata/stored"

// storedCore is a core whose files are kept, so that another process can start on them; its peers are the replicas
// "a", "b" and those that join.
type storedCore struct {
	t     *testing.T
	k     *kernel.Kernel
	host  *Host
	now   clock.Micros
	files map[string][]byte
	// full makes every write fail, as on a full disk.
	full bool
}

// startStored starts a process on files. Its writes change a copy of them.
func startStored(t *testing.T, files map[string][]byte) *storedCore {
	t.Helper()
	k := kernel.New(kernel.Boot{
		Settings: settings.Settings{Mesh: "10.0.0.1:1", Zone: "z1", DataDir: "disk"},
		Role:     "core", Seed: 7, Key: kernel.KeyFrom(make([]byte, 32)), Files: maps.Clone(files),
	})
	c := &storedCore{t: t, k: k, host: kernel.Find[*Host](k), now: 1 * clock.Second, files: maps.Clone(files)}
	if c.files == nil {
		c.files = map[string][]byte{}
	}
	c.step(kernel.Start{})
	return c
}

// step passes an input to the core, executes its writes and returns everything that it sends.
func (c *storedCore) step(in kernel.Input) []kernel.Send {
	out := c.k.Step(c.now, c.now, in)
	sends := out.Sends
	for _, w := range out.Writes {
		written := kernel.Written{Plugin: w.Plugin, Key: w.Key}
		switch {
		case c.full:
			written.Err = "no space left on device"
		case w.Data == nil:
			delete(c.files, w.File)
		default:
			c.files[w.File] = w.Data
		}
		if w.Key != "" {
			sends = append(sends, c.step(written)...)
		}
	}
	return sends
}

func (c *storedCore) send(kind uint8, m interface{ MarshalMsg([]byte) ([]byte, error) }) kernel.Output {
	return kernel.Output{Sends: c.step(kernel.Received{Conn: 5, Data: wire.Seal(kind, 0, m)})}
}

func (c *storedCore) tick(span clock.Micros) {
	c.now += span
	c.step(kernel.Tick{Plugin: "seats", Key: "tick"})
}

// preVote runs the core until it asks for pre-votes for the next term of a partition.
func (c *storedCore) preVote(partition int) *Group {
	c.t.Helper()
	g := c.host.groups[partition]
	for range 100 {
		if g.role == preCandidate {
			break
		}
		c.tick(TickInterval)
	}
	must.Eq(c.t, preCandidate, g.role)
	return g
}

// lead makes the core win the next term of a partition with the votes of the given voters, which hold no newer
// version.
func (c *storedCore) lead(partition int, voters ...string) *Group {
	c.t.Helper()
	g := c.preVote(partition)
	for _, pre := range []bool{true, false} {
		for _, id := range voters {
			c.send(wire.KindVoteReply, &wire.VoteReply{Partition: partition, Term: g.term, From: id, Pre: pre, Granted: true})
		}
	}
	must.Eq(c.t, leader, g.role)
	c.commit(g, voters...)
	must.True(c.t, g.ready)
	return g
}

// commit acknowledges the proposal from the given voters.
func (c *storedCore) commit(g *Group, voters ...string) {
	c.t.Helper()
	must.NotNil(c.t, g.proposal)
	at := g.proposal.Version
	for _, id := range voters {
		c.send(wire.KindAcceptReply, &wire.AcceptReply{Partition: g.partition, Term: g.term, From: id, Version: at, OK: true})
	}
	must.Eq(c.t, at, g.committed.Version)
}

// replyToHeartbeat sends another voter's reply to the newest heartbeat, with a clock that agrees with this core's.
func (c *storedCore) replyToHeartbeat(g *Group, id string) kernel.Output {
	return c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{
		Partition: g.partition, Term: g.term, From: id, Round: g.heartbeatRound, Stored: g.accepted.Version, OK: true, Wall: c.now,
	})
}

// edit sends an edit, has the given voters acknowledge or confirm it, and returns the reply.
func (c *storedCore) edit(g *Group, e wire.Edit, voters ...string) wire.EditReply {
	c.t.Helper()
	e.Partition = g.partition
	all := c.send(wire.KindEdit, &e)
	for _, id := range voters {
		var out kernel.Output
		if g.proposal != nil {
			out = c.send(wire.KindAcceptReply, &wire.AcceptReply{Partition: g.partition, Term: g.term, From: id, Version: g.proposal.Version, OK: true})
		} else {
			out = c.replyToHeartbeat(g, id)
		}
		all.Sends = append(all.Sends, out.Sends...)
	}
	answers := sent[wire.EditReply](c.t, all, wire.KindEditReply)
	must.Len(c.t, 1, answers)
	return answers[0]
}

func readStored(t *testing.T, folder string) map[string][]byte {
	t.Helper()
	list, err := os.ReadDir(filepath.Join(storedFolder, folder))
	must.NoError(t, err)
	files := map[string][]byte{}
	for _, e := range list {
		b, err := os.ReadFile(filepath.Join(storedFolder, folder, e.Name()))
		must.NoError(t, err)
		files[e.Name()] = b
	}
	return files
}

func writeStored(t *testing.T, folder string, files map[string][]byte) {
	t.Helper()
	path := filepath.Join(storedFolder, folder)
	must.NoError(t, os.RemoveAll(path))
	must.NoError(t, os.MkdirAll(path, 0o755))
	for name, b := range files {
		must.NoError(t, os.WriteFile(filepath.Join(path, name), b, 0o644))
	}
}
