// The events of a run: changes of the configuration, the loss of a real node and its restart. Each is measured by the
// times until the hollow nodes have observed it.

package scale

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"wallport/cluster/mesh"
)

// changesEvery is the interval between two changes.
const changesEvery = time.Second

func (f *run) changes(ctx context.Context) error {
	if err := f.watch(ctx, ""); err != nil {
		return err
	}
	var edits []EditResult
	var failed error
	for range f.o.Changes {
		e, err := f.edit(ctx, HostRequest{Op: "edit", Body: f.newConfig()})
		if err != nil {
			failed = errors.Join(failed, err)
		} else {
			edits = append(edits, e)
		}
		if err := sleep(ctx, changesEvery); err != nil {
			return err
		}
	}
	if err := sleep(ctx, 2*changesEvery); err != nil {
		return err
	}
	seen, err := f.observations(ctx)
	if err != nil {
		return err
	}
	if len(edits) == 0 {
		return errors.Join(errors.New("no change of the configuration was accepted"), failed)
	}
	f.m.AckUs, f.m.InForceUs, f.m.AllUs, f.m.NeverInForce = inForce(edits, seen)
	return nil
}

// inForce computes the times of changes: from sending to acknowledgement, from acknowledgement to being in force on
// each node, and the maximum of the latter for each change. A node has a change in force once it has that or a newer
// version; if that is before the acknowledgement, the time counts as 0. never is the number of pairs of a node and a
// change such that the change was not in force on the node at the end.
func inForce(edits []EditResult, seen []Observation) (ack, every, all Times, never int) {
	nodes := map[string][]Observation{}
	for _, s := range seen {
		if s.About == "" {
			nodes[s.Node] = append(nodes[s.Node], s)
		}
	}
	for _, l := range nodes {
		slices.SortStableFunc(l, func(a, b Observation) int { return cmp.Compare(a.AtUs, b.AtUs) })
	}
	var acks, each, last []int64
	for _, e := range edits {
		acks = append(acks, e.AtUs-e.SentUs)
		most := int64(0)
		for _, l := range nodes {
			i := slices.IndexFunc(l, func(s Observation) bool { return !mesh.Newer(e.Stamp, s.Stamp) })
			if i < 0 {
				never++
				continue
			}
			d := max(0, l[i].AtUs-e.AtUs)
			each = append(each, d)
			most = max(most, d)
		}
		last = append(last, most)
	}
	return timesOf(acks), timesOf(each), timesOf(last), never
}

// detectionTimes computes the times from a given time until each node first observed that the member named by about
// is live (or not live, if live is false), and the number of nodes that never observed it.
func detectionTimes(from int64, about string, live bool, nodes int, seen []Observation) (Times, int) {
	at := map[string]int64{}
	for _, s := range seen {
		if s.About == about && s.Live == live && s.AtUs >= from && (at[s.Node] == 0 || s.AtUs < at[s.Node]) {
			at[s.Node] = s.AtUs
		}
	}
	var us []int64
	for _, v := range at {
		us = append(us, v-from)
	}
	return timesOf(us), nodes - len(us)
}

// lossWait and joinWait are the times waited after a node is killed and after it is restarted.
const (
	lossWait = 12 * time.Second
	joinWait = 15 * time.Second
)

func (f *run) lossAndJoin(ctx context.Context, seeds []string) error {
	i := slices.IndexFunc(f.children, func(c *child) bool { return c.class == "node" })
	lost := f.children[i]
	hollow := f.m.Nodes - f.m.Real
	var seen []Observation
	var at int64
	err := f.phase(ctx, "loss", func() (err error) {
		if err = f.watch(ctx, lost.name); err != nil {
			return err
		}
		at = wallUs()
		lost.kill()
		f.mu.Lock()
		f.children = slices.Delete(f.children, i, i+1)
		f.mu.Unlock()
		if err = sleep(ctx, lossWait); err != nil {
			return err
		}
		seen, err = f.observations(ctx)
		return err
	})
	if err != nil {
		return err
	}
	f.m.LostUs, f.m.LostSilent = detectionTimes(at, lost.name, false, hollow, seen)
	err = f.phase(ctx, "join", func() (err error) {
		if err = f.watch(ctx, lost.name); err != nil {
			return err
		}
		at = wallUs()
		if _, err = f.startReal(ctx, "node", 0, seeds); err != nil {
			return err
		}
		if err = sleep(ctx, joinWait); err != nil {
			return err
		}
		seen, err = f.observations(ctx)
		return err
	})
	if err != nil {
		return err
	}
	f.m.MetUs, f.m.MetSilent = detectionTimes(at, lost.name, true, hollow, seen)
	return nil
}
