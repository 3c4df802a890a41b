// The command tail: the tail latency of requests that wait for many parts, on random times drawn from a seed.

package main

import (
	"fmt"
	"os"

	"wallport/lab/scale"
)

type tailCmd struct {
	Parts    int     `long:"parts" default:"140" description:"parts of a request"`
	Requests int     `long:"requests" default:"20000" description:"requests drawn for each line"`
	WithinMs float64 `long:"within-ms" default:"110" description:"time that a request should take"`
	WorkMs   float64 `long:"work-ms" default:"7.5" description:"median of a part"`
	Sigma    float64 `long:"sigma" default:"0.5" description:"sigma of the logarithm of a part's time"`
	Seed     uint64  `long:"seed" default:"1" description:"seed"`
}

func (c *tailCmd) Execute([]string) error {
	fmt.Printf("one request in a hundred is late if a fraction of %.3g of the parts takes more than %.0f ms; %.3g with a second attempt for each slow part\n",
		scale.MaxSlowFraction(c.Parts, 0.01), c.WithinMs, scale.MaxSlowFractionWithHedge(c.Parts, 0.01))
	part := scale.Part{MedianUs: c.WorkMs * 1e3, Sigma: c.Sigma}
	kinds := []scale.Part{part, part, part, part}
	kinds[1].PauseUs, kinds[1].PauseEveryUs = 40_000, 4_000_000
	kinds[2].PauseUs, kinds[2].PauseEveryUs = 190_000, 4_000_000
	kinds[3].PauseUs, kinds[3].PauseEveryUs, kinds[3].SlowShare, kinds[3].SlowUs = 40_000, 4_000_000, 0.001, 500_000
	within := c.WithinMs * 1e3
	policies := []scale.Policy{
		{HedgeQuantile: 1}, {HedgeQuantile: 0.999}, {HedgeQuantile: 0.99}, {HedgeQuantile: 0.95}, {HedgeQuantile: 0.9}, {HedgeQuantile: 0.8},
		{HedgeQuantile: 1, PartialAnswerUs: 0.9 * within}, {HedgeQuantile: 0.95, PartialAnswerUs: 0.9 * within},
	}
	for _, p := range kinds {
		fmt.Println()
		if err := scale.ReportTail(os.Stdout, p, c.Parts, c.Requests, within, policies, c.Seed); err != nil {
			return err
		}
	}
	return nil
}
