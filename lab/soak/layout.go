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
	// Seed is the seed of the faults and the commands; For is how long faults are injected.
	Seed uint64
	For  time.Duration
	// Bin is the folder of the wallport program, Dir the folder for settings, data and logs.
	Bin, Dir string
	// Rate is the mean number of requests per second.
	Rate float64
	// Gap is the mean time between the starts of two faults; 0 means meanGap.
	Gap time.Duration
	// Only lists the kinds of faults that may be drawn; empty means all.
	Only []string
	// Timed also counts violations of rules with time bounds as findings. Such rules depend on the machine's speed: a
	// busy machine causes violations that are not the product's fault.
	Timed bool
	// Log, if not nil, is called with each line of the run's log.
	Log func(line string)
}

// The size of the deployment.
const (
	machineCount = 6
	coreCount    = 3
	zoneCount    = 3
	// spareMachine is the machine whose core may replace another core.
	spareMachine     = coreCount
	shardCount       = 4
	perShard         = 3
	dispatchBackends = 4
	// portCount is the number of consecutive ports that each machine uses.
	portCount = 7
)

// The ports of a machine, as offsets from its first port.
const (
	portNodeMesh = iota
	portCoreMesh
	portNodeOperator
	portCoreOperator
	portHTTP
	portReadiness
	portControl
)

// The bounds that the rules check. The bounds that also apply to the processes are written to their settings.
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

// bounds returns the bounds of the rules in the form of package rules.
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

// layout holds the addresses and the folder of a run. Each run has its own loopback network.
type layout struct {
	network string
	first   int
	dir     string
}

// machineIP returns the IP at which other processes reach a machine.
func (p *layout) machineIP(n int) string { return fmt.Sprintf("%s.%d", p.network, 10+n) }

// listenIP returns the IP on which a process's mesh listens, behind its relay.
func (p *layout) listenIP(n int, role string) string {
	if role == roleCore {
		return fmt.Sprintf("%s.%d", p.network, 150+n)
	}
	return fmt.Sprintf("%s.%d", p.network, 100+n)
}

// standInIP returns the IP at which the backends, the platform's list of backends and the relays for clients listen.
func (p *layout) standInIP() string { return p.network + ".200" }

// at returns the address, as ip:port, of one of a machine's ports.
func (p *layout) at(n, port int) string {
	return net.JoinHostPort(p.machineIP(n), fmt.Sprint(p.first+port))
}

// maxLayoutAttempts bounds the number of loopback networks that findLayout tries.
const maxLayoutAttempts = 100

// findLayout finds a loopback network in which all ports are free. The network does not depend on the seed, so that
// several runs with the same seed can run at the same time.
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
	return nil, fmt.Errorf("no loopback network with free ports found")
}

// free reports whether all ports of all machines are free.
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

// dataDir returns the data folder of a core.
func (p *layout) dataDir(n int) string { return filepath.Join(p.dir, fmt.Sprintf("data-%d", n)) }
