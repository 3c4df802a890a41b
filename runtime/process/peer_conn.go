package process

import (
	"bufio"
	"crypto/tls"
	"errors"
	"sync"
	"time"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// The bounds of a connection's backlog. If the backlog of an open connection is full, the peer is too slow
// and the connection is closed. If the connection is not open yet, only the new frame is dropped.
const (
	maxBacklogFrames = 4096
	maxBacklogBytes  = 16 << 20
)

// bufferSize is the size of a connection's read and write buffers.
const bufferSize = 32 << 10

// peerConn is one connection to another process: a reader, a writer, and a bounded backlog between
// the kernel and the writer. In the backlog a newer frame replaces an older one with the same key.
type peerConn struct {
	transport *transport
	id        uint64
	// conn is nil while the connection is not open yet.
	conn   *tls.Conn
	addr   string
	mesh   bool
	dialed bool

	mu     sync.Mutex
	frames []kernel.Send
	bytes  int
	// base is the number of frames that the writer has taken from the backlog. replaceable maps a key to
	// the number of the queued frame with that key, counted from the connection's first frame.
	base        int
	replaceable map[string]int
	// queued has a token while the backlog may have frames to write.
	queued chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newPeerConn(tr *transport, conn *tls.Conn, addr string, mesh, dialed bool) *peerConn {
	return &peerConn{
		transport: tr, conn: conn, addr: addr, mesh: mesh, dialed: dialed,
		replaceable: map[string]int{}, queued: make(chan struct{}, 1), closed: make(chan struct{}),
	}
}

// enqueue adds a frame to the backlog. If the backlog is full, it drops the frame or closes the connection.
func (pc *peerConn) enqueue(s kernel.Send) {
	pc.mu.Lock()
	full := pc.push(s)
	pc.mu.Unlock()
	if full && pc.conn == nil {
		pc.transport.counts.Add("sends_unreachable", 1)
		return
	}
	if full {
		pc.transport.counts.Add("channels_backlog_full", 1)
		go pc.close()
		return
	}
	select {
	case pc.queued <- struct{}{}:
	default:
	}
}

// push appends a frame to the backlog, or replaces the queued frame with the same key. If the backlog is full, it
// discards the frame and returns true.
func (pc *peerConn) push(s kernel.Send) (full bool) {
	if i, ok := pc.replaceable[s.ReplaceKey]; ok && s.ReplaceKey != "" && i >= pc.base {
		replaced := &pc.frames[i-pc.base]
		pc.bytes += len(s.Data) - len(replaced.Data)
		*replaced = s
		pc.transport.counts.Add("frames_replaced", 1)
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

// adopt moves the frames that were queued before the connection was open to this connection's backlog.
func (pc *peerConn) adopt(pending *peerConn) {
	pending.mu.Lock()
	frames := pending.frames
	pending.frames = nil
	pending.mu.Unlock()
	for _, s := range frames {
		pc.enqueue(s)
	}
}

// takeAll empties the backlog and returns its frames.
func (pc *peerConn) takeAll() []kernel.Send {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	out := pc.frames
	pc.frames, pc.bytes = nil, 0
	pc.base += len(out)
	clear(pc.replaceable)
	return out
}

// writeFrames is the writer: it writes queued frames until the connection is closed.
func (pc *peerConn) writeFrames() {
	w := bufio.NewWriterSize(pc.conn, bufferSize)
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
					pc.transport.counts.Add("frames_oversize_out", 1)
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

// readFrames is the reader: it posts every received frame to the loop until the connection ends.
func (pc *peerConn) readFrames() {
	r := bufio.NewReaderSize(pc.conn, bufferSize)
	for {
		if r.Buffered() == 0 {
			pc.conn.SetReadDeadline(time.Now().Add(readTimeout))
		}
		b, err := wire.ReadFrom(r)
		if err != nil {
			if errors.Is(err, wire.ErrOversize) {
				pc.transport.counts.Add("frames_oversize", 1)
			}
			pc.close()
			return
		}
		pc.transport.framesIn.Add(1)
		pc.transport.bytesIn.Add(int64(len(b)))
		pc.transport.process.Post(kernel.Received{Conn: pc.id, Data: b})
	}
}

// close closes the connection; further calls do nothing. It posts to the loop's inbox, which may be full, so
// the loop itself must not call it.
func (pc *peerConn) close() {
	pc.once.Do(func() {
		close(pc.closed)
		if pc.conn != nil {
			// pc.conn.Close would block while it sends a TLS alert to a peer that may be frozen.
			pc.conn.NetConn().Close()
		}
		pc.transport.remove(pc)
	})
}
