// What the checker knows of the product: which package holds the replicated state machine, its messages, files
// and commands. Nothing else in this package names them.

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

// pluginName is the plug-in under test; inputs go to it alone.
const pluginName = "seats"

// epoch is the wall clock at the steady clock's zero.
const epoch = int64(1700000000 * clock.Second)

// messages is the path of the package of the messages, of which the product's state holds some.
var messages = reflect.TypeFor[wire.Version]().PkgPath()

// isMessage reports whether a type of a package is a message.
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

// stateOf returns everything in a process that its replica reads: the state machine itself and the membership
// table, whose rows it looks up.
func stateOf(k *kernel.Kernel) []byte {
	return append(fingerprint(replicaOf(k)), fingerprint(kernel.Find[*membership.Members](k))...)
}

// fixRandom makes the next step draw the same random numbers whatever was drawn before: two histories that lead
// to the same state must not differ by chance.
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

// bootstrappedDisk returns the disk of a voter of a group that has just been bootstrapped.
func bootstrappedDisk(replica, voters int) map[string][]byte {
	bootstrap := wire.Bootstrap{BootstrapID: "f", Commit: true, Proposer: memberOf(0)}
	for i := range voters {
		bootstrap.Voters = append(bootstrap.Voters, memberOf(i))
	}
	files := standbyDisk(replica)
	files["formation"] = diskfile.Pack(wire.Encode(&bootstrap))
	return files
}

// standbyDisk returns the disk of a process that has an identity and is not a voter.
func standbyDisk(replica int) map[string][]byte {
	return map[string][]byte{"seat": diskfile.Pack([]byte(replicaName(replica)))}
}

// versionIn returns the version that a file holds.
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

// identityIn returns the identity that a disk holds.
func identityIn(files map[string][]byte) string {
	content, err := diskfile.Unpack(files["seat"])
	if err != nil {
		return ""
	}
	return string(content)
}

// versionDigest covers everything in which equal versions must agree: body and members.
func versionDigest(v wire.Versioned) digest { return digestOf(wire.Encode(&v)) }

// announceFrame returns the message by which a process that is not a voter announces itself.
func announceFrame(replica int, identity string) []byte {
	return wire.Seal(wire.KindPull, 1, &wire.Pull{Addr: replicaAddress(replica), Replica: identity, Zone: fmt.Sprintf("zone-%d", replica+1)})
}

// commandFrame returns an operator's call.
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

// contents holds the commands that a version's body includes: the pools by the names of their commands, the
// revision in force, and the drained zones.
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
