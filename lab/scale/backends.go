// Hollow backends: many in one OS process, each with its own port, on which it answers health checks. They receive no
// search requests.

package scale

import (
	"fmt"
	"net"
	"net/http"

	"wallport/lab/backend"
	"wallport/runtime/wire"
)

// BackendsConfig configures the hollow backends.
type BackendsConfig struct {
	Count  int    `long:"count" default:"48" description:"how many"`
	Shards int    `long:"shards" default:"4" description:"shards that they are spread over"`
	Zones  int    `long:"zones" default:"4" description:"zones that they are spread over"`
	IP     string `long:"ip" default:"127.0.0.1" description:"loopback address; the system chooses the ports"`
}

// Index and ShardMapName are the index and the shard map that hollow backends serve.
const (
	Index        = "scores"
	ShardMapName = "c1"
)

// StartBackends starts hollow backends. It returns them in the form in which the platform lists them, and a function
// that stops them.
func StartBackends(c BackendsConfig) (list []wire.Backend, stop func(), err error) {
	var all []*http.Server
	stop = func() {
		for _, s := range all {
			s.Close()
		}
	}
	for i := range c.Count {
		l, err := net.Listen("tcp", net.JoinHostPort(c.IP, "0"))
		if err != nil {
			stop()
			return nil, nil, err
		}
		id := fmt.Sprintf("%s-%d-%d", ShardMapName, i%c.Shards, i/c.Shards)
		b := backend.New(backend.Config{ID: id, Index: Index, ShardMap: ShardMapName, Shard: i % c.Shards, Shards: c.Shards})
		s := &http.Server{Handler: b.Handler()}
		all = append(all, s)
		go s.Serve(l)
		list = append(list, wire.Backend{
			ID: id, Addr: l.Addr().String(), Zone: fmt.Sprintf("z%d", i/c.Shards%c.Zones+1), Index: Index, ShardMap: ShardMapName, Shard: i % c.Shards, State: "ready",
		})
	}
	return list, stop, nil
}
