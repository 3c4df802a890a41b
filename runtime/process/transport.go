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
	dialTimeout    = 1 * time.Second
	helloTimeout   = 2 * time.Second
	writeTimeout   = 5 * time.Second
	readTimeout    = 90 * time.Second
	dialBackoff    = 200_000
	maxConnections = 1024
)

type transport struct {
	process                                *Process
	key                                    kernel.Key
	tlsConfig                              *tls.Config
	listener                               net.Listener
	mu                                     sync.Mutex
	lastID                                 uint64
	open                                   map[uint64]*peerConn
	direct                                 map[string]*peerConn
	dialAllowedAt                          map[string]int64
	closed                                 bool
	framesIn, bytesIn, framesOut, bytesOut *atomic.Int64 // on all channels, without what TLS adds
}

func openTransport(p *Process, key kernel.Key) (*transport, error) {
	cert, err := certificate(key)
	if err != nil {
		return nil, err
	}
	tr := &transport{
		process: p, key: key, open: map[uint64]*peerConn{}, direct: map[string]*peerConn{}, dialAllowedAt: map[string]int64{},
		tlsConfig: &tls.Config{
			Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13,
			// Keys name processes here; there is no authority above them. The handshake
			// still proves that the other side holds the key it shows.
			InsecureSkipVerify: true, ClientAuth: tls.RequireAnyClientCert,
			// Many handshakes come at once when many processes start: one key exchange, no tickets.
			CurvePreferences: []tls.CurveID{tls.X25519}, SessionTicketsDisabled: true,
		},
	}
	n := p.Kernel.Counts
	tr.framesIn, tr.bytesIn, tr.framesOut, tr.bytesOut = n.Of("frames_in"), n.Of("frame_bytes_in"), n.Of("frames_out"), n.Of("frame_bytes_out")
	addr := p.Kernel.Boot.Settings.ListenAddress()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, oops.In("mesh").With("address", addr).Wrapf(err, "cannot listen")
	}
	tr.listener = l
	go tr.accept()
	return tr, nil
}

func (tr *transport) accept() {
	for {
		conn, err := tr.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// Out of file descriptors, say: breathe, then go on.
			time.Sleep(50 * time.Millisecond)
			continue
		}
		tr.mu.Lock()
		full := len(tr.open) >= maxConnections
		tr.mu.Unlock()
		if full {
			tr.process.Kernel.Counts.Add("channels_shed", 1)
			conn.Close()
			continue
		}
		setUserTimeout(conn)
		go tr.handshake(tls.Server(conn, tr.tlsConfig), "", false)
	}
}

// validProof reports whether a proof was made with the fleet's secret, or with the second
// one that is accepted while the secret is being changed.
func (tr *transport) validProof(proof []byte, from, to string) bool {
	e := tr.process.Kernel.Boot.Settings
	return hmac.Equal(proof, fleetProof(e.FleetSecret, from, to)) || e.SecondFleetSecret != "" && hmac.Equal(proof, fleetProof(e.SecondFleetSecret, from, to))
}

func fleetProof(secret, from, to string) []byte {
	h := hmac.New(sha256.New, []byte(secret))
	h.Write([]byte("wallport " + from + " " + to))
	return h.Sum(nil)
}

// handshake shakes hands on a new connection and makes a channel of it.
func (tr *transport) handshake(conn *tls.Conn, addr string, mesh bool) (*peerConn, error) {
	dialed := addr != ""
	fail := func(err error) (*peerConn, error) {
		tr.process.Kernel.Counts.Add("channels_failed", 1)
		conn.Close()
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return fail(err)
	}
	peer, err := peerKey(conn.ConnectionState())
	if err != nil {
		return fail(err)
	}
	self, other := kernel.Fingerprint(tr.key.Public), kernel.Fingerprint(peer)
	lane := "direct"
	if mesh {
		lane = "mesh"
	}
	conn.SetDeadline(time.Now().Add(helloTimeout))
	mine := wire.Hello{Addr: tr.process.Kernel.Boot.Settings.Mesh, Zone: tr.process.Kernel.Boot.Settings.Zone, Fleet: lane, Proof: fleetProof(tr.process.Kernel.Boot.Settings.FleetSecret, self, other)}
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
	if !tr.validProof(theirs.Proof, other, self) {
		tr.process.Kernel.Counts.Add("channels_forbidden", 1)
		tr.process.sampledLog.Warn("channel_forbidden", zap.String("addr", conn.RemoteAddr().String()), zap.String("why", "fleet secret differs"))
		return fail(errors.New("fleet secret differs"))
	}
	conn.SetDeadline(time.Time{})
	if !dialed {
		mesh, addr = theirs.Fleet == "mesh", theirs.Addr
	}
	pc := newPeerConn(tr, conn, addr, mesh, dialed)
	tr.mu.Lock()
	tr.lastID++
	pc.id = tr.lastID
	if tr.closed {
		tr.mu.Unlock()
		return fail(net.ErrClosed)
	}
	tr.open[pc.id] = pc
	tr.mu.Unlock()
	if mesh {
		tr.process.Post(kernel.ConnUp{Conn: pc.id, Addr: addr, Peer: other, Zone: theirs.Zone, Dialed: dialed, Mesh: true})
	}
	go pc.writeFrames()
	go pc.readFrames()
	return pc, nil
}

func (tr *transport) send(s kernel.Send) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if s.Addr == "" {
		if pc := tr.open[s.Conn]; pc != nil {
			pc.enqueue(s)
		}
		return
	}
	pc := tr.direct[s.Addr]
	if pc == nil {
		now := tr.process.Now()
		if now < tr.dialAllowedAt[s.Addr] {
			tr.process.Kernel.Counts.Add("sends_unreachable", 1)
			return
		}
		pc = newPeerConn(tr, nil, s.Addr, false, true)
		tr.direct[s.Addr] = pc
		go tr.openDirect(pc)
	}
	pc.enqueue(s)
}

// openDirect dials for frames that wait already and moves them to the channel.
func (tr *transport) openDirect(pending *peerConn) {
	pc, err := tr.dial(pending.addr, false)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if err != nil {
		delete(tr.direct, pending.addr)
		tr.dialAllowedAt[pending.addr] = tr.process.Now() + dialBackoff
		if len(tr.dialAllowedAt) > maxConnections {
			clear(tr.dialAllowedAt)
		}
		return
	}
	if tr.open[pc.id] == nil {
		delete(tr.direct, pending.addr)
		return
	}
	tr.direct[pending.addr] = pc
	pc.adopt(pending)
}

func (tr *transport) remove(pc *peerConn) {
	tr.mu.Lock()
	delete(tr.open, pc.id)
	if tr.direct[pc.addr] == pc {
		delete(tr.direct, pc.addr)
	}
	tr.mu.Unlock()
	if pc.mesh {
		tr.process.Post(kernel.ConnDown{Conn: pc.id, Addr: pc.addr, Mesh: true})
	}
}

func (tr *transport) close() {
	tr.listener.Close()
	tr.mu.Lock()
	tr.closed = true
	all := make([]*peerConn, 0, len(tr.open))
	for _, pc := range tr.open {
		all = append(all, pc)
	}
	tr.mu.Unlock()
	for _, pc := range all {
		pc.close()
	}
}
