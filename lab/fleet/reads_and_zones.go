// Operators' reads and zone commands on a real fleet. They are recorded in the history that is checked together with
// the edits of the configuration.

package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"wallport/control/config"
	"wallport/lab/check"
	"wallport/runtime/wire"
)

// Client numbers in the history: readingClient for all reads, zoneClient for the first zone command and the following
// numbers for the later ones.
const (
	readingClient = 1_000_000
	zoneClient    = 2_000_000
)

// readInterval is the pause between two confirmed reads.
const readInterval = 500 * time.Millisecond

// call sends one operator's request, decodes the JSON response into into, and returns the result as a code of package
// check.
func (o *operators) call(method, node, path string, into any) wire.Code {
	ctx, cancel := context.WithTimeout(context.Background(), o.fleet.client.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.fleet.OperatorAddrs[node]+path, nil)
	if err != nil {
		return check.CodeOpen
	}
	req.Header.Set("Authorization", "Bearer "+o.fleet.options.Token)
	resp, err := o.fleet.client.Do(req)
	if err != nil {
		return check.CodeOpen
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		if json.NewDecoder(resp.Body).Decode(into) != nil {
			return check.CodeOpen
		}
		return wire.CodeOK
	}
	var refused struct{ Name string }
	json.NewDecoder(resp.Body).Decode(&refused)
	return codeOf(refused.Name)
}

// codeOf returns package check's code for a response whose status is not 200, check.CodeOpen if name is not known.
func codeOf(name string) wire.Code {
	code, known := map[string]wire.Code{
		"lost_race": wire.CodeLostRace, "malformed": wire.CodeInvalid, "outcome_unknown": wire.CodeUnknown, "shed": wire.CodeOverloaded,
	}[name]
	if !known {
		return check.CodeOpen
	}
	return code
}

// recordInitialConfig records the configuration before the first edit, which is the initial state of the histories.
func (o *operators) recordInitialConfig(ctx context.Context) error {
	return poll(ctx, "read first configuration", func() error {
		first, err := o.readConfig("node-1")
		if err != nil {
			return err
		}
		version, _ := config.ParseVersion(0, first.Version)
		o.withChecker(func(c *check.Checker) { c.SetInitialVersion(version) })
		return nil
	})
}

// startReads reads the newest configuration in the background until the context ends, through each node in turn. The
// reads are confirmed by a majority.
func (o *operators) startReads(ctx context.Context) {
	o.wait.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			o.readNewest(fmt.Sprintf("node-%d", i%o.fleet.options.Shape.Nodes))
			time.Sleep(readInterval)
		}
	})
}

// readNewest reads the history of the configuration through a node and records its last entry, which is the newest.
func (o *operators) readNewest(node string) {
	var history []configInForce
	began := o.now()
	code := o.call(http.MethodGet, node, "/v1/sheet/history", &history)
	ended := o.now()
	o.withChecker(func(c *check.Checker) { c.Count("reads."+string(code), 1) })
	if code != wire.CodeOK || len(history) == 0 {
		return
	}
	newest := history[len(history)-1]
	version, _ := config.ParseVersion(0, newest.Version)
	o.withChecker(func(c *check.Checker) { c.ConfigRead(readingClient, version, newest.mark(), began, ended) })
}

// sendZoneCommands sends n commands in the background that drain and restore a zone alternately, one every gap,
// through each node in turn and without waiting for responses.
func (o *operators) sendZoneCommands(ctx context.Context, zone string, n int, gap time.Duration) {
	o.wait.Go(func() {
		for i := range n {
			if ctx.Err() != nil {
				return
			}
			o.wait.Go(func() { o.setZone(zoneClient+i, fmt.Sprintf("node-%d", i%o.fleet.options.Shape.Nodes), zone, i%2 == 0) })
			time.Sleep(gap)
		}
	})
}

// setZone drains or restores a zone through a node, and records the command and its outcome.
func (o *operators) setZone(client int, node, zone string, drained bool) {
	action := "refill"
	if drained {
		action = "empty"
	}
	var ack struct{ Stamp string }
	began := o.now()
	code := o.call(http.MethodPost, node, "/v1/zones/"+zone+"/"+action, &ack)
	ended := o.now()
	o.withChecker(func(c *check.Checker) {
		c.ZoneSet(client, zone, drained, code, began, ended)
		c.Count("zones."+string(code), 1)
	})
}

// readZone reads a zone's state through a node that has applied every command that was acknowledged before the read. To
// ensure that, it first sends a command without effect. The acknowledgement lists the nodes that have not applied the
// command yet; readZone retries until the list is empty.
func (o *operators) readZone(ctx context.Context, zone string) error {
	began := o.now()
	var ack struct {
		InForce  int `json:"in_force"`
		Laggards []string
	}
	return poll(ctx, "read state of zone "+zone, func() error {
		if code := o.call(http.MethodPost, "node-0", "/v1/zones/"+unusedZone+"/refill", &ack); code != wire.CodeOK || len(ack.Laggards) > 0 {
			return fmt.Errorf("restore unused zone: got %s, not yet applied by %v", code, ack.Laggards)
		}
		var servers []struct{ Zone, Verdict string }
		if code := o.call(http.MethodGet, "node-0", "/v1/servers", &servers); code != wire.CodeOK {
			return fmt.Errorf("list servers: got %s", code)
		}
		drained := false
		for _, s := range servers {
			drained = drained || s.Zone == zone && s.Verdict == "emptied"
		}
		ended := o.now()
		o.withChecker(func(c *check.Checker) { c.ZoneRead(readingClient, zone, drained, began, ended) })
		return nil
	})
}

// unusedZone has no backends: a command to restore it creates a version and changes nothing else.
const unusedZone = "no-zone"
