// What the processes of each class used between two moments: real nodes, real cores, and
// hollow nodes, of which a host's use is divided by their number.

package scale

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Rates is what one process of a class used, in the mean over the class: processor in
// cores, the rest a second; frames and their bytes as the processes count them, Read and
// Written as the kernel does, with TLS and HTTP and files. Most is the worst process of
// the class (or host's mean) by processor.
type Rates struct {
	Processes                 int
	CPU, CPUMost              float64
	FramesIn, FramesOut       float64
	FrameBytesIn              float64
	FrameBytesOut             float64
	Read, Written             float64
	Steps                     float64
	RSS, PeakRSS, PeakRSSMost float64
	Files, Sockets            float64
}

// childSample is all that is known of one child at a moment.
type childSample struct {
	Usage
	sample Sample
}

// sampleTimeout bounds a look.
const sampleTimeout = 20 * time.Second

// sampleAll asks every child; one that does not answer is left out.
func (f *run) sampleAll(ctx context.Context) map[*child]childSample {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	out := map[*child]childSample{}
	var mu sync.Mutex
	forEach(f.children, func(c *child) error {
		if c.class == "" {
			return nil
		}
		var m childSample
		var err error
		if c.in != nil {
			var t HostResponse
			if t, err = c.ask(ctx, HostRequest{Op: "sample"}); err == nil && t.Sample != nil {
				m.sample = *t.Sample
			}
		} else {
			m.sample, err = metrics(ctx, f.client, c.operator)
		}
		if err == nil {
			m.Usage, err = ReadUsage(c.cmd.Process.Pid)
		}
		if err == nil {
			mu.Lock()
			out[c] = m
			mu.Unlock()
		}
		return err
	})
	return out
}

// metrics reads a real process's counts.
func metrics(ctx context.Context, client *http.Client, operator string) (Sample, error) {
	s := Sample{Processes: 1, Counts: map[string]int64{}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+"/metrics", nil)
	if err != nil {
		return s, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("%s: status %d", operator, resp.StatusCode)
	}
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if k, v, ok := strings.Cut(lines.Text(), " "); ok {
			n, _ := strconv.ParseInt(v, 10, 64)
			s.Counts[strings.TrimPrefix(k, "wallport_")] = n
		}
	}
	return s, nil
}

// rates of a class between two looks; children that are not in both are left out.
func rates(class string, from, to map[*child]childSample) (r Rates) {
	for c, b := range to {
		a, ok := from[c]
		if !ok || c.class != class || b.AtUs <= a.AtUs {
			continue
		}
		n, span := float64(c.count), float64(b.AtUs-a.AtUs)/1e6
		r.Processes += c.count
		count := func(name string) float64 { return float64(b.sample.Counts[name]-a.sample.Counts[name]) / span }
		cpu := float64(b.CPUUs-a.CPUUs) / 1e6 / span
		r.CPU += cpu
		r.CPUMost = max(r.CPUMost, cpu/n)
		r.FramesIn += count("frames_in")
		r.FramesOut += count("frames_out")
		r.FrameBytesIn += count("frame_bytes_in")
		r.FrameBytesOut += count("frame_bytes_out")
		r.Steps += count("steps")
		r.Read += float64(b.Read-a.Read) / span
		r.Written += float64(b.Written-a.Written) / span
		r.RSS += float64(b.RSS)
		r.PeakRSS += float64(b.PeakRSS)
		r.PeakRSSMost = max(r.PeakRSSMost, float64(b.PeakRSS)/n)
		r.Files += float64(b.Files)
		r.Sockets += float64(b.Sockets)
	}
	for _, v := range []*float64{
		&r.CPU, &r.FramesIn, &r.FramesOut, &r.FrameBytesIn, &r.FrameBytesOut, &r.Steps, &r.Read, &r.Written,
		&r.RSS, &r.PeakRSS, &r.Files, &r.Sockets,
	} {
		*v /= float64(max(1, r.Processes))
	}
	return r
}
