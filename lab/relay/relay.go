package relay

import (
	"io"
	"net"
	"sync"
)

// bufferSize is how many bytes a relay forwards at a time.
const bufferSize = 16 << 10

// Network holds the processes' addresses, the partitions between them and the relayed connections. Its methods
// may be called from any goroutine.
type Network struct {
	mu     sync.Mutex
	healed *sync.Cond
	// processByIP maps the processes' own IP addresses to their names.
	processByIP map[string]string
	// partitioned holds each blocked direction, from the first process to the second.
	partitioned map[[2]string]bool
	// links are the connections that are relayed now.
	links map[*link]bool
	// closed reports that the test is over: nothing is delayed any more.
	closed    bool
	listeners []net.Listener
}

// link is one connection through a relay.
type link struct {
	caller, name string
	from, to     net.Conn
	// halfOpen reports that nothing is forwarded any more, without either side being told.
	halfOpen bool
}

// New returns a network without partitions.
func New() *Network {
	n := &Network{processByIP: map[string]string{}, partitioned: map[[2]string]bool{}, links: map[*link]bool{}}
	n.healed = sync.NewCond(&n.mu)
	return n
}

// Pass forwards connections to the address `to` to a process that listens at `listens`. Callers from that IP are
// known by the process's name from then on.
func (n *Network) AddRelay(name, addr, target string) error {
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.processByIP[host] = name
	n.mu.Unlock()
	return n.AddRelayFor("", name, addr, target)
}

// AddRelayFor is Pass for a relay that only one caller uses; an empty caller is identified by its address.
func (n *Network) AddRelayFor(caller, name, addr, target string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	go n.accept(l, caller, name, target)
	return nil
}

func (n *Network) accept(l net.Listener, caller, name, target string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		from := caller
		if from == "" {
			from = n.nameOf(conn.RemoteAddr())
		}
		go n.relayConn(conn, from, name, target)
	}
}

// nameOf returns the process that connects from an address, "" for any other caller.
func (n *Network) nameOf(addr net.Addr) string {
	host, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.processByIP[host]
}

// relayConn relays one connection, once its caller is not partitioned from the process.
func (n *Network) relayConn(from net.Conn, caller, name, target string) {
	defer from.Close()
	n.awaitHealed(caller, name)
	to, err := net.Dial("tcp", target)
	if err != nil {
		reset(from)
		return
	}
	defer to.Close()
	l := &link{caller: caller, name: name, from: from, to: to}
	n.mu.Lock()
	n.links[l] = true
	n.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { n.forward(l, to, from, caller, name) })
	directions.Go(func() { n.forward(l, from, to, name, caller) })
	directions.Wait()
	n.mu.Lock()
	delete(n.links, l)
	n.mu.Unlock()
}

// forward forwards bytes in one direction until either side ends; while that direction is partitioned they wait.
// Each end is forwarded as it came: the end of one direction, or a reset.
func (n *Network) forward(l *link, to, from net.Conn, sender, receiver string) {
	buffer := make([]byte, bufferSize)
	for {
		read, err := from.Read(buffer)
		n.awaitHealed(sender, receiver)
		if n.awaitOpen(l) {
			return
		}
		if read > 0 {
			if _, err := to.Write(buffer[:read]); err != nil {
				reset(from)
				return
			}
		}
		switch {
		case err == io.EOF:
			closeWrite(to)
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

// awaitHealed returns once the direction from a to b is not partitioned.
func (n *Network) awaitHealed(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.partitioned[[2]string{a, b}] && !n.closed {
		n.healed.Wait()
	}
}

// awaitOpen returns at once unless the connection is half open; then it waits for the end of the test.
func (n *Network) awaitOpen(l *link) (over bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l.halfOpen && !n.closed {
		n.healed.Wait()
	}
	return l.halfOpen
}

// Set partitions each of some processes from each of others, both ways, or heals the partition.
func (n *Network) SetPartition(some, others []string, blocked bool) {
	for _, a := range some {
		for _, b := range others {
			n.SetOneWayPartition(a, b, blocked)
			n.SetOneWayPartition(b, a, blocked)
		}
	}
}

// SetOneWayPartition partitions only the direction from a to b, or heals it.
func (n *Network) SetOneWayPartition(a, b string, blocked bool) {
	if a == b {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]string{a, b}] = blocked
	n.healed.Broadcast()
}

// HealAll heals every partition.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.partitioned)
	n.healed.Broadcast()
}

// linksBetween returns the open connections between two processes, whoever opened them.
func (n *Network) linksBetween(a, b string) (out []*link) {
	for l := range n.links {
		if l.caller == a && l.name == b || l.caller == b && l.name == a {
			out = append(out, l)
		}
	}
	return out
}

// Reset resets the connections between two processes, on both sides.
func (n *Network) Reset(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.linksBetween(a, b) {
		reset(l.from)
		reset(l.to)
	}
}

// HalfOpen leaves the connections between two processes half open: both sides take them for established, and
// nothing passes any more. New ones are not affected.
func (n *Network) HalfOpen(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.linksBetween(a, b) {
		l.halfOpen = true
	}
}

// End closes the relays and releases what they hold back.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, l := range n.listeners {
		l.Close()
	}
	for l := range n.links {
		l.from.Close()
		l.to.Close()
	}
	n.healed.Broadcast()
}
