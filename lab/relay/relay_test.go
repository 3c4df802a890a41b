// Tests of which bytes and connections relays forward, and when, under partitions, resets and half-open connections.

package relay

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// peer is a process behind a relay, with its own loopback IP; announced is the address of the relay.
type peer struct {
	name, ip, announced string
	listener            net.Listener
}

func newPeer(t *testing.T, n *Network, name, ip string) *peer {
	t.Helper()
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	must.NoError(t, err)
	announced, err := freePort()
	must.NoError(t, err)
	must.NoError(t, n.AddRelay(name, announced, l.Addr().String()))
	t.Cleanup(func() { l.Close(); n.Close() })
	return &peer{name, ip, announced, l}
}

// dialAndSend connects to another peer's relay and writes one byte.
func (p *peer) dialAndSend(t *testing.T, to *peer, b byte) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(p.ip)}}
	conn, err := d.Dial("tcp", to.announced)
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = conn.Write([]byte{b})
	must.NoError(t, err)
	return conn
}

// acceptAndRead accepts a connection and reads one byte from it.
func (p *peer) acceptAndRead(t *testing.T) (net.Conn, byte) {
	t.Helper()
	conn, err := p.listener.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn, readByte(t, conn)
}

func readByte(t *testing.T, conn net.Conn) byte {
	t.Helper()
	b := make([]byte, 1)
	_, err := io.ReadFull(conn, b)
	must.NoError(t, err)
	return b[0]
}

func TestNewConnectionWaitsUntilPartitionHeals(t *testing.T) {
	n := New()
	a, b, c := newPeer(t, n, "a", "127.1.9.1"), newPeer(t, n, "b", "127.1.9.2"), newPeer(t, n, "c", "127.1.9.3")
	n.SetPartition([]string{"a"}, []string{"b"}, true)
	a.dialAndSend(t, b, 'a')
	c.dialAndSend(t, b, 'c')
	_, first := b.acceptAndRead(t)
	must.Eq(t, 'c', first, must.Sprint("only the connection of c, which is not partitioned from b, must arrive"))
	n.SetPartition([]string{"b"}, []string{"a"}, false)
	_, second := b.acceptAndRead(t)
	must.Eq(t, 'a', second)
}

func TestBytesSentDuringPartitionArriveWhenItHeals(t *testing.T) {
	n := New()
	a, b, c := newPeer(t, n, "a", "127.1.9.4"), newPeer(t, n, "b", "127.1.9.5"), newPeer(t, n, "c", "127.1.9.6")
	fromA := a.dialAndSend(t, b, '1')
	atB, first := b.acceptAndRead(t)
	must.Eq(t, '1', first)
	n.SetPartition([]string{"a", "b"}, []string{"a", "b"}, true)
	_, err := fromA.Write([]byte{'2'})
	must.NoError(t, err)
	_, err = atB.Write([]byte{'3'})
	must.NoError(t, err)
	// During the partition a third process can still exchange bytes with b, in both directions.
	fromC := c.dialAndSend(t, b, 'c')
	toC, _ := b.acceptAndRead(t)
	_, err = toC.Write([]byte{'d'})
	must.NoError(t, err)
	must.Eq(t, 'd', readByte(t, fromC))
	n.SetPartition([]string{"a"}, []string{"b"}, false)
	must.Eq(t, '2', readByte(t, atB))
	must.Eq(t, '3', readByte(t, fromA))
}

func TestEndOfConnectionIsForwarded(t *testing.T) {
	n := New()
	a, b := newPeer(t, n, "a", "127.1.9.7"), newPeer(t, n, "b", "127.1.9.8")
	fromA := a.dialAndSend(t, b, '1')
	atB, _ := b.acceptAndRead(t)
	must.NoError(t, fromA.Close())
	_, err := atB.Read(make([]byte, 1))
	must.Error(t, err)
}

// freePort returns a free loopback address.
func freePort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func TestOneWayPartitionBlocksThatDirectionOnly(t *testing.T) {
	n := New()
	a, b := newPeer(t, n, "a", "127.1.9.9"), newPeer(t, n, "b", "127.1.9.10")
	fromA := a.dialAndSend(t, b, '1')
	atB, _ := b.acceptAndRead(t)
	n.SetOneWayPartition("a", "b", true)
	_, err := fromA.Write([]byte{'2'})
	must.NoError(t, err)
	_, err = atB.Write([]byte{'3'})
	must.NoError(t, err)
	must.Eq(t, '3', readByte(t, fromA))
	n.HealAll()
	must.Eq(t, '2', readByte(t, atB))
}

func TestResetReachesBothEnds(t *testing.T) {
	n := New()
	a, b := newPeer(t, n, "a", "127.1.9.11"), newPeer(t, n, "b", "127.1.9.12")
	fromA := a.dialAndSend(t, b, '1')
	atB, _ := b.acceptAndRead(t)
	n.Reset("b", "a")
	for _, conn := range []net.Conn{fromA, atB} {
		_, err := conn.Read(make([]byte, 1))
		must.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

func TestHalfOpenConnectionForwardsNothing(t *testing.T) {
	n := New()
	a, b := newPeer(t, n, "a", "127.1.9.13"), newPeer(t, n, "b", "127.1.9.14")
	fromA := a.dialAndSend(t, b, '1')
	atB, _ := b.acceptAndRead(t)
	n.HalfOpen("a", "b")
	_, err := fromA.Write([]byte{'2'})
	must.NoError(t, err)
	a.dialAndSend(t, b, '3')
	_, got := b.acceptAndRead(t)
	must.Eq(t, '3', got)
	n.Close()
	_, err = atB.Read(make([]byte, 1))
	must.Error(t, err, must.Sprint("bytes held back by the half-open connection must be lost"))
}
