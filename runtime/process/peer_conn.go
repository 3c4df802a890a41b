// One channel: a reader, a writer, and a bounded backlog between the kernel
// and the writer in which a newer frame takes an older one's slot.

package process

import (
	"bufio"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"sync"
	"time"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// maxBacklogFrames bounds a channel's waiting frames, and maxBacklogBytes what they hold together; a peer that
// slow is let go. Where the connection is not open yet, no more are taken.
const (
	maxBacklogFrames = 4096
	maxBacklogBytes  = 16 << 20
)

type peerConn struct {
	transport *transport
	id        uint64
	conn      *tls.Conn
	addr      string
	mesh      bool
	dialed    bool

	mu          sync.Mutex
	frames      []kernel.Send
	bytes       int
	replaceable map[string]int
	base        int
	queued      chan struct{}
	closed      chan struct{}
	once        sync.Once
}

func newPeerConn(tr *transport, conn *tls.Conn, addr string, mesh, dialed bool) *peerConn {
	return &peerConn{
		transport: tr, conn: conn, addr: addr, mesh: mesh, dialed: dialed,
		replaceable: map[string]int{}, queued: make(chan struct{}, 1), closed: make(chan struct{}),
	}
}

// enqueue puts a frame into the backlog, in its slot's place where one waits.
func (pc *peerConn) enqueue(s kernel.Send) {
	pc.mu.Lock()
	full := pc.push(s)
	pc.mu.Unlock()
	if full && pc.conn == nil {
		pc.transport.process.Kernel.Counts.Add("sends_unreachable", 1)
		return
	}
	if full {
		pc.transport.process.Kernel.Counts.Add("channels_backlog_full", 1)
		go pc.close()
		return
	}
	select {
	case pc.queued <- struct{}{}:
	default:
	}
}

// push puts a frame into the backlog; full is that there is no room for it.
func (pc *peerConn) push(s kernel.Send) (full bool) {
	if i, ok := pc.replaceable[s.ReplaceKey]; ok && s.ReplaceKey != "" && i >= pc.base {
		replaced := &pc.frames[i-pc.base]
		pc.bytes += len(s.Data) - len(replaced.Data)
		*replaced = s
		pc.transport.process.Kernel.Counts.Add("frames_replaced", 1)
		return false
	}
	if len(pc.frames) >= maxBacklogFrames || pc.bytes+len(s.Data) > maxBacklogBytes {
		return true
	}
	if s.ReplaceKey != "" {
		pc.replaceable[s.ReplaceKey] = pc.base + len(pc.frames)
	}
	pc.frames = append(pc.frames, s)
	pc.bytes += len(s.Data)
	return false
}

// adopt takes over the frames that waited for this channel to open.
func (pc *peerConn) adopt(pending *peerConn) {
	pending.mu.Lock()
	frames := pending.frames
	pending.frames = nil
	pending.mu.Unlock()
	for _, s := range frames {
		pc.enqueue(s)
	}
}

func (pc *peerConn) takeAll() []kernel.Send {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	out := pc.frames
	pc.frames, pc.bytes = nil, 0
	pc.base += len(out)
	clear(pc.replaceable)
	return out
}

func (pc *peerConn) writeFrames() {
	w := bufio.NewWriterSize(pc.conn, 32<<10)
	for {
		select {
		case <-pc.queued:
		case <-pc.closed:
			return
		}
		pc.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		for _, s := range pc.takeAll() {
			if err := wire.WriteTo(w, s.Data); err != nil {
				if errors.Is(err, wire.ErrOversize) {
					pc.transport.process.Kernel.Counts.Add("frames_oversize_out", 1)
					continue
				}
				pc.close()
				return
			}
			pc.transport.framesOut.Add(1)
			pc.transport.bytesOut.Add(int64(len(s.Data)))
		}
		if w.Flush() != nil {
			pc.close()
			return
		}
	}
}

func (pc *peerConn) readFrames() {
	r := bufio.NewReaderSize(pc.conn, 32<<10)
	for {
		if r.Buffered() == 0 {
			pc.conn.SetReadDeadline(time.Now().Add(readTimeout))
		}
		b, err := wire.ReadFrom(r)
		if err != nil {
			if errors.Is(err, wire.ErrOversize) {
				pc.transport.process.Kernel.Counts.Add("frames_oversize", 1)
			}
			pc.close()
			return
		}
		pc.transport.framesIn.Add(1)
		pc.transport.bytesIn.Add(int64(len(b)))
		pc.transport.process.Post(kernel.Received{Conn: pc.id, Data: b})
	}
}

func (pc *peerConn) close() {
	pc.once.Do(func() {
		close(pc.closed)
		if pc.conn != nil {
			// Not Close: that would wait to tell a peer that may be frozen.
			pc.conn.NetConn().Close()
		}
		pc.transport.remove(pc)
	})
}

// certificate wraps a node key for TLS; it says nothing but the key.
func certificate(key kernel.Key) (tls.Certificate, error) {
	t := x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0)}
	der, err := x509.CreateCertificate(rand.Reader, &t, &t, key.Public, key.Private)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key.Private}, nil
}

func peerKey(s tls.ConnectionState) (ed25519.PublicKey, error) {
	if len(s.PeerCertificates) == 0 {
		return nil, errors.New("peer shows no key")
	}
	key, ok := s.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return nil, errors.New("peer's key is not Ed25519")
	}
	return key, nil
}
