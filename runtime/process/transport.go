package process

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

const (
	dialTimeout  = 1 * time.Second
	helloTimeout = 2 * time.Second
	writeTimeout = 5 * time.Second
	readTimeout  = 90 * time.Second
	// dialBackoff is how long after a failure no direct connection to the same address is dialed.
	dialBackoff = 200 * clock.Millisecond
	// acceptRetryDelay is the pause after a failed accept, for example when no file descriptor is free.
	acceptRetryDelay = 50 * time.Millisecond
	maxConnections   = 1024
)

// transport owns the connections to other processes: TCP, TLS with the keys of both sides, a hello that
// proves knowledge of the fleet's secret, then frames in both directions. A mesh connection is opened
// when a plug-in dials, a direct connection on demand by the first frame for an address.
type transport struct {
	process   *Process
	counts    *kernel.Counts
	key       kernel.Key
	tlsConfig *tls.Config
	listener  net.Listener

	mu     sync.Mutex
	closed bool
	lastID uint64
	open   map[uint64]*peerConn
	// direct maps an address to its direct connection, which may not be open yet.
	direct map[string]*peerConn
	// dialAllowedAt maps an address that could not be reached to the time from which it may be dialed again.
	dialAllowedAt map[string]clock.Micros

	// Total numbers of frames and bytes on all connections, without the overhead of TLS.
	framesIn, bytesIn, framesOut, bytesOut *atomic.Int64
}

func openTransport(p *Process, key kernel.Key) (*transport, error) {
	cert, err := certificate(key)
	if err != nil {
		return nil, fmt.Errorf("cannot create a certificate for the process's key: %w", err)
	}
	counts := p.Kernel.Counts
	tr := &transport{
		process: p, counts: counts, key: key, open: map[uint64]*peerConn{}, direct: map[string]*peerConn{}, dialAllowedAt: map[string]clock.Micros{},
		framesIn: counts.Of("frames_in"), bytesIn: counts.Of("frame_bytes_in"),
		framesOut: counts.Of("frames_out"), bytesOut: counts.Of("frame_bytes_out"),
		tlsConfig: &tls.Config{
			Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13,
			// Processes are identified by their keys, which no certificate authority signs. The handshake
			// still proves that the peer has the private key for its certificate.
			InsecureSkipVerify: true, ClientAuth: tls.RequireAnyClientCert,
			// Many handshakes arrive at the same time when many processes start, so they are kept cheap: a
			// single key exchange and no session tickets.
			CurvePreferences: []tls.CurveID{tls.X25519}, SessionTicketsDisabled: true,
		},
	}
	addr := p.Kernel.Boot.Settings.ListenAddress()
	if tr.listener, err = net.Listen("tcp", addr); err != nil {
		return nil, oops.In("mesh").With("address", addr).Wrapf(err, "cannot listen for mesh connections")
	}
	go tr.accept()
	return tr, nil
}

func (tr *transport) accept() {
	for {
		conn, err := tr.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		tr.mu.Lock()
		full := len(tr.open) >= maxConnections
		tr.mu.Unlock()
		if full {
			tr.counts.Add("channels_shed", 1)
			conn.Close()
			continue
		}
		setUserTimeout(conn)
		go tr.handshake(tls.Server(conn, tr.tlsConfig), "", false)
	}
}

func (tr *transport) dial(addr string, mesh bool) (*peerConn, error) {
	conn, err := tr.dialer().Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	setUserTimeout(conn)
	return tr.handshake(tls.Client(conn, tr.tlsConfig), addr, mesh)
}

// dialer returns a dialer that uses the IP on which the mesh listens as source address, if MeshListen sets one.
func (tr *transport) dialer() *net.Dialer {
	d := &net.Dialer{Timeout: dialTimeout}
	if ip := tr.process.Kernel.Boot.Settings.SourceIP(); ip.IsValid() {
		d.LocalAddr = &net.TCPAddr{IP: ip.AsSlice()}
	}
	return d
}

func (tr *transport) dialMesh(addr string) {
	go func() {
		if _, err := tr.dial(addr, true); err != nil {
			tr.process.Log.Debug("mesh_dial_failed", zap.String("addr", addr), zap.Error(err))
			tr.process.Post(kernel.ConnDown{Addr: addr, Mesh: true})
		}
	}()
}

// send queues a frame on its connection. A frame for an address without a connection opens one.
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
		if tr.process.Now() < tr.dialAllowedAt[s.Addr] {
			tr.counts.Add("sends_unreachable", 1)
			return
		}
		pc = newPeerConn(tr, nil, s.Addr, false, true)
		tr.direct[s.Addr] = pc
		go tr.openDirect(pc)
	}
	pc.enqueue(s)
}

// openDirect opens the direct connection to an address and moves the pending frames to it. If that fails, the pending
// frames are dropped.
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
		// The connection has already been closed again.
		delete(tr.direct, pending.addr)
		return
	}
	tr.direct[pending.addr] = pc
	pc.adopt(pending)
}

// drop closes a connection without blocking.
func (tr *transport) drop(id uint64) {
	tr.mu.Lock()
	pc := tr.open[id]
	tr.mu.Unlock()
	if pc != nil {
		// Close in a goroutine: close posts the end of the connection to the loop. The loop is the
		// caller of drop, so it would wait for itself if its inbox were full.
		go pc.close()
	}
}

// remove deletes a connection that has ended and reports the end of a mesh connection to the kernel.
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
