// The tail latency of a request that waits for many parts: the share of parts that may be slow, and the costs and
// benefits of hedging, computed by formula and simulated with a seed that is printed. Parts are independent here;
// hedging does not help against anything that slows all backends of a shard at the same time.

package scale

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"text/tabwriter"
)

// MaxSlowFraction returns the greatest share p of parts that may be slow if the given share of requests, each over
// the given number of parts, may be slow: 1 - (1-p)^parts = requests.
func MaxSlowFraction(parts int, requests float64) float64 {
	return -math.Expm1(math.Log1p(-requests) / float64(parts))
}

// MaxSlowFractionWithHedge returns the same share as MaxSlowFraction if each slow part is hedged with a request to
// another backend, which is slow independently and with the same probability: 1 - (1-p^2)^parts = requests.
func MaxSlowFractionWithHedge(parts int, requests float64) float64 {
	return math.Sqrt(MaxSlowFraction(parts, requests))
}

// Part is the distribution of the duration of one exchange with a backend, in microseconds. The base duration is
// lognormal, with median MedianUs and standard deviation Sigma of its logarithm. A backend pauses for PauseUs every
// PauseEveryUs; an exchange that arrives during a pause also waits for the remainder of the pause. A share SlowShare
// of the exchanges takes SlowUs longer for another reason.
type Part struct {
	MedianUs, Sigma       float64
	PauseUs, PauseEveryUs float64
	SlowShare, SlowUs     float64
}

func (p Part) draw(r *rand.Rand) float64 {
	us := p.MedianUs * math.Exp(p.Sigma*r.NormFloat64())
	if p.PauseEveryUs > 0 {
		// at is the time of arrival within the period of the pauses; a pause begins at 0.
		if at := r.Float64() * p.PauseEveryUs; at < p.PauseUs {
			us += p.PauseUs - at
		}
	}
	if p.SlowShare > 0 && r.Float64() < p.SlowShare {
		us += p.SlowUs
	}
	return us
}

// Policy is a hedging policy. HedgeQuantile is the delay after which a part is requested from another backend, as a
// quantile of the parts' durations; 1 means never. PartialAnswerUs is the time after which a request is answered
// without the missing parts; 0 means never.
type Policy struct {
	HedgeQuantile   float64
	PartialAnswerUs float64
}

// Tail is the result of a simulation of many requests under a policy. Extra is the number of hedged requests per
// part, Within the share of requests that took at most the target latency, Whole the share of complete answers, and
// MeanParts the mean share of parts in an answer.
type Tail struct {
	Policy
	// AgainUs is the delay after which a part is hedged, in microseconds.
	AgainUs          float64
	P50, P99, P999   float64
	Extra            float64
	Within           float64
	Whole, MeanParts float64
}

// DrawTail simulates requests over the given number of parts for each policy. within is the target latency of a request
// in microseconds.
func DrawTail(p Part, parts, requests int, within float64, all []Policy, seed uint64) (out []Tail) {
	r := rand.New(rand.NewPCG(seed, 0x7461696c))
	sample := make([]float64, 200_000)
	for i := range sample {
		sample[i] = p.draw(r)
	}
	for _, pol := range all {
		t := Tail{Policy: pol, AgainUs: math.Inf(1)}
		if pol.HedgeQuantile < 1 {
			t.AgainUs = Quantile(sample, pol.HedgeQuantile)
		}
		took := make([]float64, requests)
		var extra, in, whole, ok float64
		for i := range took {
			missing := 0
			for range parts {
				us := p.draw(r)
				if us > t.AgainUs {
					extra++
					us = min(us, t.AgainUs+p.draw(r))
				}
				if pol.PartialAnswerUs > 0 && us > pol.PartialAnswerUs {
					missing++
					us = pol.PartialAnswerUs
				}
				took[i] = max(took[i], us)
			}
			in += float64(parts - missing)
			if missing == 0 {
				whole++
			}
			if took[i] <= within {
				ok++
			}
		}
		n := float64(requests)
		t.P50, t.P99, t.P999 = Quantile(took, 0.5), Quantile(took, 0.99), Quantile(took, 0.999)
		t.Extra, t.Within, t.Whole, t.MeanParts = extra/n/float64(parts), ok/n, whole/n, in/n/float64(parts)
		out = append(out, t)
	}
	return out
}

// ReportTail writes a table of policies for a kind of part.
func ReportTail(out io.Writer, p Part, parts, requests int, within float64, all []Policy, seed uint64) error {
	fmt.Fprintf(out, "parts %d, requests %d, seed %d; a part: median %.1f ms, sigma %.2f, pauses of %.0f ms each %.1f s, a share of %.4f slower by %.0f ms; target %.0f ms\n",
		parts, requests, seed, p.MedianUs/1e3, p.Sigma, p.PauseUs/1e3, p.PauseEveryUs/1e6, p.SlowShare, p.SlowUs/1e3, within/1e3)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "hedged at quantile\thedge delay, ms\textra requests\tp50, ms\tp99, ms\tp99.9, ms\twithin target\tcomplete answers\tshare of parts")
	for _, t := range DrawTail(p, parts, requests, within, all, seed) {
		at, again := "never", "-"
		if t.HedgeQuantile < 1 {
			at, again = fmt.Sprintf("%.4g", t.HedgeQuantile), fmt.Sprintf("%.1f", t.AgainUs/1e3)
		}
		if t.PartialAnswerUs > 0 {
			at += fmt.Sprintf(", answered at %.0f ms", t.PartialAnswerUs/1e3)
		}
		fmt.Fprintf(w, "%s\t%s\t%.4f\t%.1f\t%.1f\t%.1f\t%.4f\t%.4f\t%.5f\n", at, again, t.Extra, t.P50/1e3, t.P99/1e3, t.P999/1e3, t.Within, t.Whole, t.MeanParts)
	}
	return w.Flush()
}
