// Channels to other processes: TCP with TLS from both sides' node keys, a
// hello that proves the fleet's secret, then frames both ways. Mesh channels
// are opened by the mesh; direct ones on demand, for calls.

package process

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of the transport.
const (
	dialWithin   = 1 * time.Second
	helloWithin  = 2 * time.Second
	writeWithin  = 5 * time.Second
	readWithin   = 90 * time.Second
	dialPause    = 200_000
	channelsMost = 1024
)

type channels struct {
	p                          *Process
	key                        kernel.Key
	conf                       *tls.Config
	listen                     net.Listener
	mu                         sync.Mutex
	next                       uint64
	open                       map[uint64]*channel
	direct                     map[string]*channel
	failed                     map[string]int64
	closed                     bool
	in, bytesIn, out, bytesOut *atomic.Int64 // on all channels, without what TLS adds
}

func openChannels(p *Process, key kernel.Key) (*channels, error) {
	cert, err := certificate(key)
	if err != nil {
		return nil, err
	}
	c := &channels{
		p: p, key: key, open: map[uint64]*channel{}, direct: map[string]*channel{}, failed: map[string]int64{},
		conf: &tls.Config{
			Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13,
			// Keys name processes here; there is no authority above them. The handshake
			// still proves that the other side holds the key it shows.
			InsecureSkipVerify: true, ClientAuth: tls.RequireAnyClientCert,
			// Many handshakes come at once when many processes start: one key exchange, no tickets.
			CurvePreferences: []tls.CurveID{tls.X25519}, SessionTicketsDisabled: true,
		},
	}
	n := p.Kernel.Counts
	c.in, c.bytesIn, c.out, c.bytesOut = n.Of("frames_in"), n.Of("frame_bytes_in"), n.Of("frames_out"), n.Of("frame_bytes_out")
	addr := p.Kernel.Boot.Settings.ListenAddress()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, oops.In("mesh").With("address", addr).Wrapf(err, "cannot listen")
	}
	c.listen = l
	go c.accept()
	return c, nil
}

func (c *channels) accept() {
	for {
		conn, err := c.listen.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// Out of file descriptors, say: breathe, then go on.
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.mu.Lock()
		full := len(c.open) >= channelsMost
		c.mu.Unlock()
		if full {
			c.p.Kernel.Counts.Add("channels_shed", 1)
			conn.Close()
			continue
		}
		impatient(conn)
		go c.greet(tls.Server(conn, c.conf), "", false)
	}
}

// accepts reports whether a proof was made with the fleet's secret, or with the second
// one that is accepted while the secret is being changed.
func (c *channels) accepts(proof []byte, from, to string) bool {
	e := c.p.Kernel.Boot.Settings
	return hmac.Equal(proof, prove(e.Fleet, from, to)) || e.FleetToo != "" && hmac.Equal(proof, prove(e.FleetToo, from, to))
}

func prove(secret, from, to string) []byte {
	h := hmac.New(sha256.New, []byte(secret))
	h.Write([]byte("wallport " + from + " " + to))
	return h.Sum(nil)
}

// greet shakes hands on a new connection and makes a channel of it.
func (c *channels) greet(conn *tls.Conn, addr string, mesh bool) (*channel, error) {
	dialed := addr != ""
	fail := func(err error) (*channel, error) {
		c.p.Kernel.Counts.Add("channels_failed", 1)
		conn.Close()
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), helloWithin)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return fail(err)
	}
	peer, err := peerKey(conn.ConnectionState())
	if err != nil {
		return fail(err)
	}
	self, other := kernel.Fingerprint(c.key.Public), kernel.Fingerprint(peer)
	lane := "direct"
	if mesh {
		lane = "mesh"
	}
	conn.SetDeadline(time.Now().Add(helloWithin))
	mine := wire.Hello{Addr: c.p.Kernel.Boot.Settings.Mesh, Zone: c.p.Kernel.Boot.Settings.Zone, Fleet: lane, Proof: prove(c.p.Kernel.Boot.Settings.Fleet, self, other)}
	if err := wire.WriteTo(conn, wire.Seal(wire.KindHello, 0, &mine)); err != nil {
		return fail(err)
	}
	b, err := wire.ReadFrom(conn)
	if err != nil {
		return fail(err)
	}
	f, err := wire.Open(b)
	var theirs wire.Hello
	if err != nil || f.Kind != wire.KindHello || wire.Decode(f.Body, &theirs) != nil {
		return fail(errors.New("no hello"))
	}
	if !c.accepts(theirs.Proof, other, self) {
		c.p.Kernel.Counts.Add("channels_forbidden", 1)
		c.p.notes.Warn("channel_forbidden", zap.String("addr", conn.RemoteAddr().String()), zap.String("why", "fleet secret differs"))
		return fail(errors.New("fleet secret differs"))
	}
	conn.SetDeadline(time.Time{})
	if !dialed {
		mesh, addr = theirs.Fleet == "mesh", theirs.Addr
	}
	ch := newChannel(c, conn, addr, mesh, dialed)
	c.mu.Lock()
	c.next++
	ch.id = c.next
	if c.closed {
		c.mu.Unlock()
		return fail(net.ErrClosed)
	}
	c.open[ch.id] = ch
	c.mu.Unlock()
	if mesh {
		c.p.Post(kernel.ConnUp{Conn: ch.id, Addr: addr, Peer: other, Zone: theirs.Zone, Dialed: dialed, Mesh: true})
	}
	go ch.write()
	go ch.read()
	return ch, nil
}

func (c *channels) send(s kernel.Send) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Addr == "" {
		if ch := c.open[s.Conn]; ch != nil {
			ch.enlist(s)
		}
		return
	}
	ch := c.direct[s.Addr]
	if ch == nil {
		now := c.p.Now()
		if now < c.failed[s.Addr] {
			c.p.Kernel.Counts.Add("sends_unreachable", 1)
			return
		}
		ch = newChannel(c, nil, s.Addr, false, true)
		c.direct[s.Addr] = ch
		go c.openDirect(ch)
	}
	ch.enlist(s)
}

// openDirect dials for frames that wait already and moves them to the channel.
func (c *channels) openDirect(wait *channel) {
	ch, err := c.dial(wait.addr, false)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		delete(c.direct, wait.addr)
		c.failed[wait.addr] = c.p.Now() + dialPause
		if len(c.failed) > channelsMost {
			clear(c.failed)
		}
		return
	}
	if c.open[ch.id] == nil {
		delete(c.direct, wait.addr)
		return
	}
	c.direct[wait.addr] = ch
	ch.adopt(wait)
}

func (c *channels) gone(ch *channel) {
	c.mu.Lock()
	delete(c.open, ch.id)
	if c.direct[ch.addr] == ch {
		delete(c.direct, ch.addr)
	}
	c.mu.Unlock()
	if ch.mesh {
		c.p.Post(kernel.ConnDown{Conn: ch.id, Addr: ch.addr, Mesh: true})
	}
}

func (c *channels) close() {
	c.listen.Close()
	c.mu.Lock()
	c.closed = true
	all := make([]*channel, 0, len(c.open))
	for _, ch := range c.open {
		all = append(all, ch)
	}
	c.mu.Unlock()
	for _, ch := range all {
		ch.close()
	}
}
