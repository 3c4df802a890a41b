// Dialling other processes, and letting go of them.

package process

import (
	"crypto/tls"
	"net"

	"go.uber.org/zap"

	"wallport/runtime/kernel"
)

func (c *channels) dial(addr string, mesh bool) (*channel, error) {
	conn, err := c.dialer().Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	impatient(conn)
	return c.greet(tls.Client(conn, c.conf), addr, mesh)
}

// dialer opens connections that leave from the address that the mesh listens on, if that is set.
func (c *channels) dialer() *net.Dialer {
	d := &net.Dialer{Timeout: dialWithin}
	if ip := c.p.Kernel.Boot.Settings.SourceIP(); ip.IsValid() {
		d.LocalAddr = &net.TCPAddr{IP: ip.AsSlice()}
	}
	return d
}

func (c *channels) dialMesh(addr string) {
	go func() {
		if _, err := c.dial(addr, true); err != nil {
			c.p.Log.Debug("mesh_dial_failed", zap.String("addr", addr), zap.Error(err))
			c.p.Post(kernel.ConnDown{Addr: addr, Mesh: true})
		}
	}()
}

func (c *channels) drop(id uint64) {
	c.mu.Lock()
	ch := c.open[id]
	c.mu.Unlock()
	if ch != nil {
		// Not here: the end is posted to the loop that drops it, which may have no room.
		go ch.close()
	}
}
