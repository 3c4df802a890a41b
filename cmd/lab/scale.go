// The measurement of the control plane's growth, in the simulator.
package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"wallport/lab/sim"
)

type scaleCmd struct {
	Nodes []int  `long:"nodes" default:"10" default:"30" default:"100" description:"fleet sizes"`
	Seed  uint64 `long:"seed" default:"1" description:"seed"`
}

func (c *scaleCmd) Execute([]string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "nodes\tmesh frames/s per process\tbytes/s per process\tframes per change\tin force, median ms\tworst ms\tafter a healed split, ms")
	for _, n := range c.Nodes {
		r, err := sim.Scale(n, c.Seed)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%d\t%.1f\t%.0f\t%.0f\t%.1f\t%.1f\t%.0f\n", r.Nodes, r.RestPerNode, r.BytesPerNode, r.ChangeFrames,
			float64(r.MedianUs)/1000, float64(r.WorstUs)/1000, float64(r.HealUs)/1000)
	}
	return w.Flush()
}
