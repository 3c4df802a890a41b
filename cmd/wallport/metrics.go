// The figures of a role on the platform, on a port that its deploy file names.

package main

import (
	"net"
	"net/netip"
	"strconv"

	"go.uber.org/zap"

	"wallport/request/httpapi"
	"wallport/runtime/process"
	"wallport/runtime/settings"
)

// openMetrics tells the figures on a port of the machine's address. A port that cannot be had is
// logged: a process is not ended for its figures, which the operators' address has, too.
func openMetrics(p *process.Process, s *httpapi.Server, e settings.Settings, port uint16) {
	if port == 0 {
		return
	}
	mesh, err := netip.ParseAddrPort(e.Mesh)
	if err == nil {
		err = s.OpenMetrics(net.JoinHostPort(mesh.Addr().String(), strconv.Itoa(int(port))))
	}
	if err != nil {
		p.Log.Warn("metrics_not_open", zap.Uint16("port", port), zap.Error(err))
	}
}
