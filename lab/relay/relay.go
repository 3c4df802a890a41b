package relay

import (
	"io"
	"net"
	"sync"
)

// bufferSize is the maximum number of bytes that a relay forwards at a time.
const bufferSize = 16 << 10

// Network holds the processes' addresses, the partitions between them and the relayed connections. Its methods
// may be called from any goroutine.
type Network struct {
	mu sync.Mutex
	// healed is signalled when a partition changes and when the network is closed.
	healed *sync.Cond
	// processByIP maps the processes' loopback IPs to their names.
	processByIP map[string]string
	// partitioned holds the blocked directions, each from the first process to the second.
	partitioned map[[2]string]bool
	// links holds the connections that are being relayed.
	links map[*link]bool
	// closed reports that the network was closed. Partitions hold nothing back from then on.
	closed    bool
	listeners []net.Listener
}

// link is one connection through a relay, from the process caller to the process name.
type link struct {
	caller, name string
	from, to     net.Conn
	// halfOpen reports that nothing is forwarded any more, although both sides consider the connection established.
	halfOpen bool
}

// New returns a network without partitions.
func New() *Network {
	n := &Network{processByIP: map[string]string{}, partitioned: map[[2]string]bool{}, links: map[*link]bool{}}
	n.healed = sync.NewCond(&n.mu)
	return n
}

// AddRelay adds a relay that listens on addr and forwards connections to the process name, which listens on target.
// From then on connections that come from target's IP are attributed to that process.
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

// AddRelayFor adds a relay that only the process caller uses. If caller is empty, callers are identified by their IPs.
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

// accept accepts and relays connections until the listener is closed.
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

// nameOf returns the name of the process that uses an address's IP, "" if no process does.
func (n *Network) nameOf(addr net.Addr) string {
	host, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.processByIP[host]
}

// relayConn relays one connection until both directions have ended. It connects to the process only when the direction
// from the caller to the process is not partitioned.
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

// forward forwards bytes in one direction until either side closes it. While that direction is partitioned the bytes
// wait. If the sender ends its direction, forward ends the same direction towards the receiver; after any other read
// error it resets the connection to the receiver.
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

// awaitHealed waits until the direction from a to b is not partitioned or the network is closed.
func (n *Network) awaitHealed(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.partitioned[[2]string{a, b}] && !n.closed {
		n.healed.Wait()
	}
}

// awaitOpen returns immediately unless the connection is half-open; then it waits until the network is closed and
// returns true.
func (n *Network) awaitOpen(l *link) (over bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l.halfOpen && !n.closed {
		n.healed.Wait()
	}
	return l.halfOpen
}

// SetPartition partitions each process of some from each process of others, in both directions, or heals the
// partition if blocked is false.
func (n *Network) SetPartition(some, others []string, blocked bool) {
	for _, a := range some {
		for _, b := range others {
			n.SetOneWayPartition(a, b, blocked)
			n.SetOneWayPartition(b, a, blocked)
		}
	}
}

// SetOneWayPartition blocks the direction from a to b, or heals it if blocked is false.
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

// linksBetween returns the connections between two processes, in either direction. The caller holds the lock.
func (n *Network) linksBetween(a, b string) (out []*link) {
	for l := range n.links {
		if l.caller == a && l.name == b || l.caller == b && l.name == a {
			out = append(out, l)
		}
	}
	return out
}

// Reset resets the present connections between two processes, on both sides.
func (n *Network) Reset(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.linksBetween(a, b) {
		reset(l.from)
		reset(l.to)
	}
}

// HalfOpen makes the present connections between two processes half-open: both sides consider them established, but
// nothing is forwarded any more. New connections are not affected.
func (n *Network) HalfOpen(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.linksBetween(a, b) {
		l.halfOpen = true
	}
}

// Close closes all relays and their connections, and unblocks everything that waits for a partition to heal.
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
