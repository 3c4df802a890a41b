package process

import (
	"context"
	"crypto/ed25519"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"math/big"
	"net"
	"time"

	"go.uber.org/zap"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// The purposes of a connection. The Purpose field of a hello carries the purpose.
const (
	purposeMesh   = "mesh"
	purposeDirect = "direct"
)

var (
	errNoPeerKey    = errors.New("peer presented no certificate")
	errPeerKeyType  = errors.New("peer's key is not Ed25519")
	errNoHello      = errors.New("peer's first frame is not a valid hello")
	errFleetSecret  = errors.New("peer's proof does not match the fleet secret")
	errShuttingDown = fmt.Errorf("transport is shutting down: %w", net.ErrClosed)
)

// handshake authenticates a new connection and starts its reader and writer. addr is the address that
// was dialed, or empty for an accepted connection. The connection is closed on failure.
func (tr *transport) handshake(conn *tls.Conn, addr string, mesh bool) (*peerConn, error) {
	pc, err := tr.establish(conn, addr, mesh)
	if err != nil {
		tr.counts.Add("channels_failed", 1)
		conn.Close()
		return nil, err
	}
	return pc, nil
}

func (tr *transport) establish(conn *tls.Conn, addr string, mesh bool) (*peerConn, error) {
	dialed := addr != ""
	peer, err := completeTLSHandshake(conn)
	if err != nil {
		return nil, err
	}
	theirs, err := tr.exchangeHello(conn, peer, mesh)
	if err != nil {
		return nil, err
	}
	if !dialed {
		mesh, addr = theirs.Purpose == purposeMesh, theirs.Addr
	}
	pc := newPeerConn(tr, conn, addr, mesh, dialed)
	if err := tr.register(pc); err != nil {
		return nil, err
	}
	if mesh {
		tr.process.Post(kernel.ConnUp{Conn: pc.id, Addr: addr, Peer: peer, Zone: theirs.Zone, Dialed: dialed, Mesh: true})
	}
	go pc.writeFrames()
	go pc.readFrames()
	return pc, nil
}

// completeTLSHandshake completes the TLS handshake, which proves the keys of both sides, and returns the fingerprint of the peer's key.
func completeTLSHandshake(conn *tls.Conn) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return "", fmt.Errorf("TLS handshake: %w", err)
	}
	key, err := peerKey(conn.ConnectionState())
	if err != nil {
		return "", err
	}
	return kernel.Fingerprint(key), nil
}

// exchangeHello sends this process's hello and returns the peer's. It fails if the peer's proof of the fleet's secret
// is not valid.
func (tr *transport) exchangeHello(conn *tls.Conn, peer string, mesh bool) (theirs wire.Hello, err error) {
	self, own := kernel.Fingerprint(tr.key.Public), tr.process.Kernel.Boot.Settings
	purpose := purposeDirect
	if mesh {
		purpose = purposeMesh
	}
	conn.SetDeadline(time.Now().Add(helloTimeout))
	hello := wire.Hello{Addr: own.Mesh, Zone: own.Zone, Purpose: purpose, Proof: fleetProof(own.FleetSecret, self, peer)}
	if err := wire.WriteTo(conn, wire.Seal(wire.KindHello, 0, &hello)); err != nil {
		return theirs, fmt.Errorf("cannot send the hello: %w", err)
	}
	b, err := wire.ReadFrom(conn)
	if err != nil {
		return theirs, fmt.Errorf("cannot read the peer's hello: %w", err)
	}
	frame, err := wire.Open(b)
	if err != nil || frame.Kind != wire.KindHello || wire.Decode(frame.Body, &theirs) != nil {
		return theirs, errNoHello
	}
	if !tr.validProof(theirs.Proof, peer, self) {
		tr.counts.Add("channels_forbidden", 1)
		tr.process.sampledLog.Warn("connection_rejected", zap.String("addr", conn.RemoteAddr().String()), zap.String("reason", errFleetSecret.Error()))
		return theirs, errFleetSecret
	}
	conn.SetDeadline(time.Time{})
	return theirs, nil
}

// register assigns an id to a connection and adds it to the open connections. It fails if the transport has been
// closed.
func (tr *transport) register(pc *peerConn) error {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.lastID++
	pc.id = tr.lastID
	if tr.closed {
		return errShuttingDown
	}
	tr.open[pc.id] = pc
	return nil
}

// validProof reports whether a proof was made with the fleet's secret, or with the second secret that
// is accepted while the secret is being rotated.
func (tr *transport) validProof(proof []byte, from, to string) bool {
	own := tr.process.Kernel.Boot.Settings
	return hmac.Equal(proof, fleetProof(own.FleetSecret, from, to)) ||
		own.SecondFleetSecret != "" && hmac.Equal(proof, fleetProof(own.SecondFleetSecret, from, to))
}

// fleetProof returns the HMAC-SHA-256 by which a process proves to one peer that it knows the fleet's secret. It covers
// the fingerprints of the sender's and the receiver's keys, so it is valid only from this sender to this receiver.
func fleetProof(secret, from, to string) []byte {
	h := hmac.New(sha256.New, []byte(secret))
	h.Write([]byte("wallport " + from + " " + to))
	return h.Sum(nil)
}

// certificate returns a self-signed TLS certificate for a process's key. It asserts nothing but the key.
func certificate(key kernel.Key) (tls.Certificate, error) {
	template := x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0)}
	der, err := x509.CreateCertificate(rand.Reader, &template, &template, key.Public, key.Private)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key.Private}, nil
}

func peerKey(state tls.ConnectionState) (ed25519.PublicKey, error) {
	if len(state.PeerCertificates) == 0 {
		return nil, errNoPeerKey
	}
	key, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return nil, errPeerKeyType
	}
	return key, nil
}
