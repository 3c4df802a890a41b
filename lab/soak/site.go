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

// Options are the options of a run.
type Options struct {
	// Seed draws the faults, the requests and the commands; For is how long faults are injected.
	Seed uint64
	For  time.Duration
	// Bin is the folder of the wallport program, Dir the folder of settings, data and logs.
	Bin, Dir string
	// Rate is the number of requests a second.
	Rate float64
	// Gap is the mean time between the starts of two faults; 0 is the default.
	Gap time.Duration
	// Only limits the kinds of faults that are drawn, if it is not empty.
	Only []string
	// Timed checks the rules with time bounds, too. They depend on the machine's speed and are no use on a busy
	// one.
	Timed bool
	// Log is called with each line of the log, if not nil.
	Log func(line string)
}

// Sizes of the site.
const (
	machineCount = 6
	coreCount    = 3
	zoneCount    = 3
	// spareMachine has a core that may replace another one.
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

// Bounds of the rules, as in the processes' settings.
const (
	contactMs      = 4000
	ackMs          = 5000
	drainMs        = 3000
	graceS         = 6
	applyMs        = 3000
	evacuateMs     = 5000
	stretchMs      = 12000
	recoverS       = 12
	lossMs         = 200
	retryRate      = 0.2
	retryAllowance = 62
	windowS        = 10
	listRate       = 44.0
	listLagMs      = 300
)

// bounds returns the bounds of the rules.
func bounds() rules.Bounds {
	return rules.Bounds{
		ContactUs: contactMs * clock.Millisecond, AckUs: ackMs * clock.Millisecond, DrainUs: drainMs * clock.Millisecond, GraceUs: graceS * clock.Second,
		LossUs: lossMs * clock.Millisecond, ApplyUs: applyMs * clock.Millisecond, StretchUs: stretchMs * clock.Millisecond, EvacuateUs: evacuateMs * clock.Millisecond,
		RecoverUs: recoverS * clock.Second, RetryRatio: retryRate, RetryAllowance: retryAllowance, RetryWindowUs: windowS * clock.Second,
		SlowStartOverrun: 1.5, SlowStartTolerance: 5,
	}
}

// zoneOf returns the zone of the nth machine or backend.
func zoneOf(n int) string { return fmt.Sprintf("z%d", n%zoneCount+1) }

// layout holds the addresses of a run: a loopback network of its own.
type layout struct {
	network string
	first   int
	dir     string
}

// machineIP returns the address at which others reach a machine; behindIP where its mesh listens.
func (p *layout) machineIP(n int) string { return fmt.Sprintf("%s.%d", p.network, 10+n) }
func (p *layout) listenIP(n int, role string) string {
	if role == roleCore {
		return fmt.Sprintf("%s.%d", p.network, 150+n)
	}
	return fmt.Sprintf("%s.%d", p.network, 100+n)
}

// standInIP returns the address of the run's own stand-ins.
func (p *layout) standInIP() string { return p.network + ".200" }

// at returns the address of a machine's port.
func (p *layout) at(n, port int) string {
	return net.JoinHostPort(p.machineIP(n), fmt.Sprint(p.first+port))
}

// maxLayoutAttempts bounds how many networks are tried until one is free.
const maxLayoutAttempts = 100

// findPlace finds a loopback network in which all ports are free. It is not drawn from the seed: two
// runs of one seed may be under way at once.
func findLayout(dir string) (*layout, error) {
	for range maxLayoutAttempts {
		p := &layout{
			network: fmt.Sprintf("127.%d.%d", 32+rand.IntN(200), rand.IntN(250)), first: 12_000 + rand.IntN(15_000),
			dir: dir,
		}
		if p.free() {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no loopback network has free ports")
}

func (p *layout) free() bool {
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
func (p *layout) dataDir(n int) string { return filepath.Join(p.dir, fmt.Sprintf("data-%d", n)) }
