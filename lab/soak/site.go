// Package soak runs the product's own processes on one machine, over real
// sockets, on the path of the users' platform, and brings overlapping troubles
// about that are drawn from a seed. The rules of the platform judge what clients,
// backends and operators saw; the processes' own invariants are on.
package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"time"

	"wallport/lab/rules"
	"wallport/runtime/clock"
)

// Options say what to run.
type Options struct {
	// Seed draws the troubles, the requests and the orders; For is how long troubles come.
	Seed uint64
	For  time.Duration
	// Bin is the folder of the wallport program, Dir that of settings, data and logs.
	Bin, Dir string
	// Rate is how many requests a second clients send.
	Rate float64
	// Gap is the mean time between the begins of two troubles; 0 is the usual.
	Gap time.Duration
	// Only, where there are any, are the kinds of troubles that are drawn.
	Only []string
	// Timed has the rules with time bounds judged, too. How long things take is the machine's affair:
	// a busy one is no place for them.
	Timed bool
	// Log is told of what happens, a line each; nil is nobody.
	Log func(line string)
}

// Figures of the site.
const (
	machineCount = 6
	coreCount    = 3
	zoneCount    = 3
	// spareMachine has a core that may take another's place.
	spareMachine     = coreCount
	shardCount       = 4
	perShard         = 3
	dispatchBackends = 4
	// portCount is how many ports in a row every machine uses.
	portCount = 7
)

// The ports of a machine, counted from its first.
const (
	portNodeMesh = iota
	portCoreMesh
	portNodeOperator
	portCoreOperator
	portHTTP
	portReadiness
	portControl
)

// Bounds of the rules, as the settings tell them.
const (
	contactMs = 4000
	ackMs     = 5000
	drainMs   = 3000
	graceS    = 6
	applyMs   = 3000
	emptyMs   = 5000
	stretchMs = 12000
	recoverS  = 12
	lossMs    = 200
	retryRate = 0.2
	retryMore = 62
	windowS   = 10
	listRate  = 44.0
	listLagMs = 300
)

// bounds are those of the rules.
func bounds() rules.Bounds {
	return rules.Bounds{
		ContactUs: contactMs * clock.Millisecond, AckUs: ackMs * clock.Millisecond, DrainUs: drainMs * clock.Millisecond, GraceUs: graceS * clock.Second,
		LossUs: lossMs * clock.Millisecond, ApplyUs: applyMs * clock.Millisecond, StretchUs: stretchMs * clock.Millisecond, EvacuateUs: emptyMs * clock.Millisecond,
		RecoverUs: recoverS * clock.Second, RetryRatio: retryRate, RetryAllowance: retryMore, RetryWindowUs: windowS * clock.Second,
		SlowStartOverrun: 1.5, SlowStartTolerance: 5,
	}
}

// zoneOf is the zone of the nth machine or backend.
func zoneOf(n int) string { return fmt.Sprintf("z%d", n%zoneCount+1) }

// place is where a run's addresses lie: a loopback network of its own.
type place struct {
	network string
	first   int
	dir     string
}

// machineIP is the address that others reach a machine by; behindIP is where its mesh listens.
func (p *place) machineIP(n int) string { return fmt.Sprintf("%s.%d", p.network, 10+n) }
func (p *place) behindIP(n int, role string) string {
	if role == roleCore {
		return fmt.Sprintf("%s.%d", p.network, 150+n)
	}
	return fmt.Sprintf("%s.%d", p.network, 100+n)
}

// standInIP is the address of what the run plays itself.
func (p *place) standInIP() string { return p.network + ".200" }

// at is a port of a machine.
func (p *place) at(n, port int) string {
	return net.JoinHostPort(p.machineIP(n), fmt.Sprint(p.first+port))
}

// placesTried bounds how many networks are looked at until one is free.
const placesTried = 100

// findPlace finds a loopback network in which all ports are free. It is not drawn from the seed: two
// runs of one seed may be under way at once.
func findPlace(dir string) (*place, error) {
	for range placesTried {
		p := &place{
			network: fmt.Sprintf("127.%d.%d", 32+rand.IntN(200), rand.IntN(250)), first: 12_000 + rand.IntN(15_000),
			dir: dir,
		}
		if p.free() {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no loopback network has free ports")
}

func (p *place) free() bool {
	for n := range machineCount {
		for port := range portCount {
			l, err := net.Listen("tcp", p.at(n, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// dataDir is a core's data folder.
func (p *place) dataDir(n int) string { return filepath.Join(p.dir, fmt.Sprintf("data-%d", n)) }
