// Dialling other processes, and letting go of them.

package process

import (
	"crypto/tls"
	"net"

	"go.uber.org/zap"

	"wallport/runtime/kernel"
)

func (tr *transport) dial(addr string, mesh bool) (*peerConn, error) {
	conn, err := tr.dialer().Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	setUserTimeout(conn)
	return tr.handshake(tls.Client(conn, tr.tlsConfig), addr, mesh)
}

// dialer opens connections that leave from the address that the mesh listens on, if that is set.
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

func (tr *transport) drop(id uint64) {
	tr.mu.Lock()
	pc := tr.open[id]
	tr.mu.Unlock()
	if pc != nil {
		// Not here: the end is posted to the loop that drops it, which may have no room.
		go pc.close()
	}
}
