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
	// ended reports that the test is over: nothing is delayed any more.
	ended     bool
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
func (n *Network) Pass(name, to, listens string) error {
	host, _, err := net.SplitHostPort(listens)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.processByIP[host] = name
	n.mu.Unlock()
	return n.PassFrom("", name, to, listens)
}

// PassFrom is Pass for a relay that only one caller uses; an empty caller is identified by its address.
func (n *Network) PassFrom(caller, name, to, listens string) error {
	l, err := net.Listen("tcp", to)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	go n.accept(l, caller, name, listens)
	return nil
}

func (n *Network) accept(l net.Listener, caller, name, listens string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		from := caller
		if from == "" {
			from = n.nameOf(conn.RemoteAddr())
		}
		go n.carry(conn, from, name, listens)
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

// carry relays one connection, once its caller is not partitioned from the process.
func (n *Network) carry(from net.Conn, caller, name, listens string) {
	defer from.Close()
	n.awaitHealed(caller, name)
	to, err := net.Dial("tcp", listens)
	if err != nil {
		reset(from)
		return
	}
	defer to.Close()
	l := &link{caller: caller, name: name, from: from, to: to}
	n.mu.Lock()
	n.links[l] = true
	n.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { n.forward(l, to, from, caller, name) })
	both.Go(func() { n.forward(l, from, to, name, caller) })
	both.Wait()
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
			endWriting(to)
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
	for n.partitioned[[2]string{a, b}] && !n.ended {
		n.healed.Wait()
	}
}

// awaitOpen returns at once unless the connection is half open; then it waits for the end of the test.
func (n *Network) awaitOpen(l *link) (over bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l.halfOpen && !n.ended {
		n.healed.Wait()
	}
	return l.halfOpen
}

// Set partitions each of some processes from each of others, both ways, or heals the partition.
func (n *Network) Set(some, others []string, apart bool) {
	for _, a := range some {
		for _, b := range others {
			n.SetOneWay(a, b, apart)
			n.SetOneWay(b, a, apart)
		}
	}
}

// SetOneWay partitions only the direction from a to b, or heals it.
func (n *Network) SetOneWay(a, b string, apart bool) {
	if a == b {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]string{a, b}] = apart
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
func (n *Network) End() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended = true
	for _, l := range n.listeners {
		l.Close()
	}
	for l := range n.links {
		l.from.Close()
		l.to.Close()
	}
	n.healed.Broadcast()
}
