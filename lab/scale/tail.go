// The tail of a request that waits for many parts: what share of the parts may be slow,
// and what asking again costs and gives, worked out and drawn with a printed seed. Parts
// are independent here; what slows all backends of a shard at once is no matter of asking
// again.

package scale

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"text/tabwriter"
)

// SlowMost is the greatest share of parts that may be slow, when a share of requests over
// so many parts may be: 1 - (1-p)^parts = requests.
func SlowMost(parts int, requests float64) float64 {
	return -math.Expm1(math.Log1p(-requests) / float64(parts))
}

// SlowMostTwice is the same where each slow part is asked again of another backend, which
// is slow as often and independently: 1 - (1-p^2)^parts = requests.
func SlowMostTwice(parts int, requests float64) float64 {
	return math.Sqrt(SlowMost(parts, requests))
}

// Part is how long one exchange with a backend takes: a lognormal with a median and a
// sigma of its logarithm; a pause that a backend makes every so often, whose rest is
// waited for; and a share that is slow for another reason. Times are in microseconds.
type Part struct {
	MedianUs, Sigma       float64
	PauseUs, PauseEveryUs float64
	SlowShare, SlowUs     float64
}

func (p Part) draw(r *rand.Rand) float64 {
	us := p.MedianUs * math.Exp(p.Sigma*r.NormFloat64())
	if p.PauseEveryUs > 0 {
		// The phase of the pause at the moment of arrival.
		if at := r.Float64() * p.PauseEveryUs; at < p.PauseUs {
			us += p.PauseUs - at
		}
	}
	if p.SlowShare > 0 && r.Float64() < p.SlowShare {
		us += p.SlowUs
	}
	return us
}

// Policy is when a part is asked of another backend, as a quantile of the parts' times (1 is
// never), and after what time a request answers without the missing parts (0 is never).
type Policy struct {
	AskAgainAt float64
	AnswerUs   float64
}

// Tail is what came of many requests.
type Tail struct {
	Policy
	// AgainUs is the time at which a part is asked again.
	AgainUs          float64
	P50, P99, P999   float64
	Extra            float64
	Within           float64
	Whole, MeanParts float64
}

// DrawTail draws requests over so many parts; within is the time that a request should
// take, in microseconds.
func DrawTail(p Part, parts, requests int, within float64, all []Policy, seed uint64) (out []Tail) {
	r := rand.New(rand.NewPCG(seed, 0x7461696c))
	sample := make([]float64, 200_000)
	for i := range sample {
		sample[i] = p.draw(r)
	}
	for _, pol := range all {
		t := Tail{Policy: pol, AgainUs: math.Inf(1)}
		if pol.AskAgainAt < 1 {
			t.AgainUs = Quantile(sample, pol.AskAgainAt)
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
				if pol.AnswerUs > 0 && us > pol.AnswerUs {
					missing++
					us = pol.AnswerUs
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
	fmt.Fprintf(out, "parts %d, requests %d, seed %d; a part: median %.1f ms, sigma %.2f, pauses of %.0f ms each %.1f s, slow %.4f by %.0f ms; p of %.0f ms wanted\n",
		parts, requests, seed, p.MedianUs/1e3, p.Sigma, p.PauseUs/1e3, p.PauseEveryUs/1e6, p.SlowShare, p.SlowUs/1e3, within/1e3)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "asked again at\tthat is, ms\textra asks\tp50, ms\tp99, ms\tp99.9, ms\twithin\twhole answers\tparts in")
	for _, t := range DrawTail(p, parts, requests, within, all, seed) {
		at, again := "never", "-"
		if t.AskAgainAt < 1 {
			at, again = fmt.Sprintf("%.4g", t.AskAgainAt), fmt.Sprintf("%.1f", t.AgainUs/1e3)
		}
		if t.AnswerUs > 0 {
			at += fmt.Sprintf(", answered at %.0f ms", t.AnswerUs/1e3)
		}
		fmt.Fprintf(w, "%s\t%s\t%.4f\t%.1f\t%.1f\t%.1f\t%.4f\t%.4f\t%.5f\n", at, again, t.Extra, t.P50/1e3, t.P99/1e3, t.P999/1e3, t.Within, t.Whole, t.MeanParts)
	}
	return w.Flush()
}
