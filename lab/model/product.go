// The adapter to the product: it boots replicas, reads their state and files, and encodes announcements and commands.
// No other file of this package imports the package of the replicated state machine.

package model

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/cluster/membership"
	"wallport/cluster/mesh"
	"wallport/control/replica"
	"wallport/control/state"
	"wallport/runtime/clock"
	"wallport/runtime/diskfile"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// pluginName is the name of the plug-in under test; writes and timers of other plug-ins are ignored.
const pluginName = "seats"

// epoch is the wall-clock time when the monotonic clock is 0.
const epoch = int64(1700000000 * clock.Second)

// messages is the path of the package that defines the messages. The product's state contains pointers to messages.
var messages = reflect.TypeFor[wire.Version]().PkgPath()

// isMessage reports whether types of the package are messages.
func isMessage(pkg string) bool { return pkg == messages }

// bootKernel starts a replica's process on the files of its disk.
func bootKernel(replica int, files map[string][]byte) *kernel.Kernel {
	e := settings.Settings{
		Name: replicaName(replica), Zone: fmt.Sprintf("zone-%d", replica+1), Mesh: replicaAddress(replica), DataDir: "disk",
		BootstrapKnown: true, Tolerance: settings.Tolerance{Machines: 1},
	}
	return kernel.New(kernel.Boot{Settings: e, Role: "core", Seed: uint64(replica), Key: kernel.KeyFrom(make([]byte, 32)), Files: files})
}

// replicaOf returns the state machine of a process.
func replicaOf(k *kernel.Kernel) any { return kernel.Find[*replica.Host](k) }

// stateOf returns the fingerprint of everything in a process that its replica reads: the state machine itself and
// the membership table, in which it looks up rows.
func stateOf(k *kernel.Kernel) []byte {
	return append(fingerprint(replicaOf(k)), fingerprint(kernel.Find[*membership.Members](k))...)
}

// fixRandom reseeds a process's random number generator, so that the next step does not depend on how many numbers
// earlier steps drew. Otherwise two histories that lead to the same state could have different continuations.
func fixRandom(k *kernel.Kernel, replica, incarnation int) {
	k.Rand = rand.New(rand.NewPCG(uint64(replica), uint64(incarnation)))
}

// committedOf returns the newest version that a process knows to be committed.
func committedOf(k *kernel.Kernel) (wire.Versioned, bool) {
	return kernel.Find[*mesh.Mesh](k).Partition(state.ConfigPartition)
}

func replicaName(replica int) string    { return string(rune('a' + replica)) }
func replicaAddress(replica int) string { return fmt.Sprintf("10.0.0.%d:1", replica+1) }

func memberOf(replica int) wire.Replica {
	return wire.Replica{ID: replicaName(replica), Zone: fmt.Sprintf("zone-%d", replica+1), Addr: replicaAddress(replica)}
}

// bootstrappedDisk returns the disk of a voter in a group that has just been bootstrapped.
func bootstrappedDisk(replica, voters int) map[string][]byte {
	bootstrap := wire.Bootstrap{BootstrapID: "f", Commit: true, Proposer: memberOf(0)}
	for i := range voters {
		bootstrap.Voters = append(bootstrap.Voters, memberOf(i))
	}
	files := standbyDisk(replica)
	files["formation"] = diskfile.Pack(wire.Encode(&bootstrap))
	return files
}

// standbyDisk returns the disk of a process that has an identity but is not a voter.
func standbyDisk(replica int) map[string][]byte {
	return map[string][]byte{"seat": diskfile.Pack([]byte(replicaName(replica)))}
}

// versionIn returns the version of the configuration in a file, false if the file does not hold one.
func versionIn(file string, data []byte) (wire.Versioned, bool) {
	var v wire.Versioned
	if !strings.HasPrefix(file, fmt.Sprintf("part-%d.stamp-", state.ConfigPartition)) {
		return v, false
	}
	content, err := diskfile.Unpack(data)
	if err != nil || wire.Decode(content, &v) != nil {
		return v, false
	}
	return v, true
}

// identityIn returns the identity that a disk holds, "" if there is none.
func identityIn(files map[string][]byte) string {
	content, err := diskfile.Unpack(files["seat"])
	if err != nil {
		return ""
	}
	return string(content)
}

// versionDigest returns a digest of everything in which two copies of a version must agree: body and members.
func versionDigest(v wire.Versioned) digest { return digestOf(wire.Encode(&v)) }

// announceFrame returns the message with which a standby announces itself.
func announceFrame(replica int, identity string) []byte {
	return wire.Seal(wire.KindPull, 1, &wire.Pull{Addr: replicaAddress(replica), Replica: identity, Zone: fmt.Sprintf("zone-%d", replica+1)})
}

// commandFrame returns the message that carries an operator's command.
func commandFrame(id uint64, o *Command) []byte {
	e := wire.Edit{Partition: state.ConfigPartition, EditID: o.Name, By: "operator"}
	switch o.Kind {
	case ChangeCommand:
		edit := &routingpb.RoutingEdit{Base: o.Base, Revision: o.Revision, Upsert: &routingpb.RoutingTable{Pools: []*routingpb.Pool{{Name: o.Name}}}}
		e.Op = "routing"
		e.Body, _ = proto.MarshalOptions{Deterministic: true}.Marshal(edit)
	case DrainCommand:
		e.Op, e.Name = "empty", o.Zone
	case RestoreCommand:
		e.Op, e.Name = "refill", o.Zone
	case ReadCommand:
		e.Op = "read"
	}
	return wire.Seal(wire.KindEdit, id, &e)
}

// answerFinal reports whether an answer is final, and whether it acknowledges the call.
func answerFinal(r wire.EditReply) (final, accepted bool) {
	switch r.Code {
	case "ok":
		return true, true
	case "lost_race", "invalid", "conflict":
		return true, false
	default:
		return false, false
	}
}

// contents holds the effects of commands on a version's body: the revision, the names of the pools (each change adds
// a pool under its own name) and the drained zones.
type contents struct {
	revision int64
	commands []string
	drained  []string
}

func contentsOf(body []byte) (c contents, ok bool) {
	config, err := state.ReadConfig(body)
	if err != nil {
		return c, false
	}
	table, err := state.RoutingOf(config)
	if err != nil {
		return c, false
	}
	c.revision = table.GetRevision()
	for _, p := range table.GetPools() {
		c.commands = append(c.commands, p.Name)
	}
	slices.Sort(c.commands)
	c.drained = config.DrainedZones
	return c, true
}

// newer reports whether version a comes after b.
func newer(a, b wire.Version) bool { return mesh.Newer(a, b) }

func appendNumber(b []byte, n int64) []byte { return binary.AppendVarint(b, n) }
