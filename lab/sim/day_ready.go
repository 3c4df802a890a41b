// Which node the platform leads a client to.

package sim

import (
	"fmt"
	"hash/fnv"
)

// askReady asks every node each second; one that misses twice gets no new connections.
func (c *clients) askReady() {
	c.d.w.after(readyEvery, c.askReady)
	for _, m := range c.d.machines {
		if g := c.d.gates[m.node]; g != nil && m.node.runs() && !m.dark && g.ready() {
			c.misses[m] = 0
		} else {
			c.misses[m]++
		}
	}
}

// in lists a zone's nodes that get new connections.
func (c *clients) in(zone string) (out, all []*machine) {
	for _, m := range c.d.machines {
		if m.zone == zone && !m.gone {
			all = append(all, m)
			if c.misses[m] < missesMost {
				out = append(out, m)
			}
		}
	}
	return out, all
}

// node is where the platform leads a new connection: by a hash of the client, another one at each try.
func (c *clients) node(zone, client string, try int) *machine {
	list, all := c.in(zone)
	if len(list) == 0 {
		// None is in: those of the other zones.
		for _, z := range c.d.site.zones {
			if l, _ := c.in(z.name); len(l) > 0 {
				list = l
				break
			}
		}
	} else if 2*len(list) < len(all) {
		list = all
	}
	if len(list) == 0 {
		return nil
	}
	h := fnv.New32a()
	fmt.Fprint(h, client)
	return list[(int(h.Sum32()>>8)+try)%len(list)]
}
