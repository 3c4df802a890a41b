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

// backlogMost bounds a channel's waiting frames, and backlogBytes what they hold together; a peer that
// slow is let go. Where the connection is not open yet, no more are taken.
const (
	backlogMost  = 4096
	backlogBytes = 16 << 20
)

type channel struct {
	c      *channels
	id     uint64
	conn   *tls.Conn
	addr   string
	mesh   bool
	dialed bool

	mu     sync.Mutex
	frames []kernel.Send
	bytes  int
	slots  map[string]int
	base   int
	signal chan struct{}
	shut   chan struct{}
	once   sync.Once
}

func newChannel(c *channels, conn *tls.Conn, addr string, mesh, dialed bool) *channel {
	return &channel{
		c: c, conn: conn, addr: addr, mesh: mesh, dialed: dialed,
		slots: map[string]int{}, signal: make(chan struct{}, 1), shut: make(chan struct{}),
	}
}

// enlist puts a frame into the backlog, in its slot's place where one waits.
func (ch *channel) enlist(s kernel.Send) {
	ch.mu.Lock()
	full := ch.put(s)
	ch.mu.Unlock()
	if full && ch.conn == nil {
		ch.c.p.Kernel.Counts.Add("sends_unreachable", 1)
		return
	}
	if full {
		ch.c.p.Kernel.Counts.Add("channels_backlog_full", 1)
		go ch.close()
		return
	}
	select {
	case ch.signal <- struct{}{}:
	default:
	}
}

// put puts a frame into the backlog; full is that there is no room for it.
func (ch *channel) put(s kernel.Send) (full bool) {
	if i, ok := ch.slots[s.ReplaceKey]; ok && s.ReplaceKey != "" && i >= ch.base {
		was := &ch.frames[i-ch.base]
		ch.bytes += len(s.Data) - len(was.Data)
		*was = s
		ch.c.p.Kernel.Counts.Add("frames_replaced", 1)
		return false
	}
	if len(ch.frames) >= backlogMost || ch.bytes+len(s.Data) > backlogBytes {
		return true
	}
	if s.ReplaceKey != "" {
		ch.slots[s.ReplaceKey] = ch.base + len(ch.frames)
	}
	ch.frames = append(ch.frames, s)
	ch.bytes += len(s.Data)
	return false
}

// adopt takes over the frames that waited for this channel to open.
func (ch *channel) adopt(wait *channel) {
	wait.mu.Lock()
	frames := wait.frames
	wait.frames = nil
	wait.mu.Unlock()
	for _, s := range frames {
		ch.enlist(s)
	}
}

func (ch *channel) take() []kernel.Send {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	out := ch.frames
	ch.frames, ch.bytes = nil, 0
	ch.base += len(out)
	clear(ch.slots)
	return out
}

func (ch *channel) write() {
	w := bufio.NewWriterSize(ch.conn, 32<<10)
	for {
		select {
		case <-ch.signal:
		case <-ch.shut:
			return
		}
		ch.conn.SetWriteDeadline(time.Now().Add(writeWithin))
		for _, s := range ch.take() {
			if err := wire.WriteTo(w, s.Data); err != nil {
				if errors.Is(err, wire.ErrOversize) {
					ch.c.p.Kernel.Counts.Add("frames_oversize_out", 1)
					continue
				}
				ch.close()
				return
			}
			ch.c.out.Add(1)
			ch.c.bytesOut.Add(int64(len(s.Data)))
		}
		if w.Flush() != nil {
			ch.close()
			return
		}
	}
}

func (ch *channel) read() {
	r := bufio.NewReaderSize(ch.conn, 32<<10)
	for {
		if r.Buffered() == 0 {
			ch.conn.SetReadDeadline(time.Now().Add(readWithin))
		}
		b, err := wire.ReadFrom(r)
		if err != nil {
			if errors.Is(err, wire.ErrOversize) {
				ch.c.p.Kernel.Counts.Add("frames_oversize", 1)
			}
			ch.close()
			return
		}
		ch.c.in.Add(1)
		ch.c.bytesIn.Add(int64(len(b)))
		ch.c.p.Post(kernel.Received{Conn: ch.id, Data: b})
	}
}

func (ch *channel) close() {
	ch.once.Do(func() {
		close(ch.shut)
		if ch.conn != nil {
			// Not Close: that would wait to tell a peer that may be frozen.
			ch.conn.NetConn().Close()
		}
		ch.c.gone(ch)
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
