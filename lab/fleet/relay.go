// Relays before the mesh addresses of a fleet's processes: what two processes that are cut off from
// each other send stays in the relay until they are joined, as behind a cut in a network. Processes
// are told apart by the loopback address from which they connect.
package fleet

import (
	"io"
	"net"
	"sync"
)

// relayBuffer is how many bytes a relay passes on at a time.
const relayBuffer = 16 << 10

// network knows the processes' own addresses and who is cut off from whom.
type network struct {
	mu     sync.Mutex
	joined *sync.Cond
	// names are the processes by their own IP addresses.
	names map[string]string
	// apart holds each pair that is cut, in both orders.
	apart map[[2]string]bool
	// ended is that the fleet is going down: nothing is held back any more.
	ended     bool
	listeners []net.Listener
}

func newNetwork() *network {
	n := &network{names: map[string]string{}, apart: map[[2]string]bool{}}
	n.joined = sync.NewCond(&n.mu)
	return n
}

// relay passes connections to the address `to` on to a process that listens at `listens`.
func (n *network) relay(name, to, listens string) error {
	host, _, err := net.SplitHostPort(listens)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", to)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.names[host] = name
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	go n.accept(l, name, listens)
	return nil
}

func (n *network) accept(l net.Listener, name, listens string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go n.pass(conn, n.nameOf(conn.RemoteAddr()), name, listens)
	}
}

// nameOf is the process that connects from an address; empty for any other caller.
func (n *network) nameOf(addr net.Addr) string {
	host, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names[host]
}

// pass carries one connection, once the two are not cut off from each other.
func (n *network) pass(from net.Conn, caller, name, listens string) {
	defer from.Close()
	n.waitJoined(caller, name)
	to, err := net.Dial("tcp", listens)
	if err != nil {
		return
	}
	defer to.Close()
	var both sync.WaitGroup
	for _, way := range [][2]net.Conn{{from, to}, {to, from}} {
		both.Go(func() {
			n.copy(way[1], way[0], caller, name)
			way[1].Close()
		})
	}
	both.Wait()
}

// copy passes bytes on until either side ends; those of a pair that is cut wait for the join.
func (n *network) copy(to io.Writer, from io.Reader, caller, name string) {
	buffer := make([]byte, relayBuffer)
	for {
		read, err := from.Read(buffer)
		n.waitJoined(caller, name)
		if read > 0 {
			if _, err := to.Write(buffer[:read]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitJoined returns once two processes are not cut off from each other.
func (n *network) waitJoined(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.apart[[2]string{a, b}] && !n.ended {
		n.joined.Wait()
	}
}

// set cuts each of some processes off from each of others, or joins them.
func (n *network) set(some, others []string, apart bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range some {
		for _, b := range others {
			if a == b {
				continue
			}
			n.apart[[2]string{a, b}], n.apart[[2]string{b, a}] = apart, apart
		}
	}
	n.joined.Broadcast()
}

// end closes the relays and lets go of what they hold.
func (n *network) end() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended = true
	for _, l := range n.listeners {
		l.Close()
	}
	n.joined.Broadcast()
}
