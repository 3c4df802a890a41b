// Resource use per process and second, by class: real nodes, real cores and hollow nodes. The use of a host of hollow
// nodes is divided by their number.

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

// Rates is the resource use of one process of a class, averaged over the class. CPU is in cores; frames, bytes and steps
// are per second; memory sizes are in bytes. Frames and their bytes are counted by the processes themselves. Read and
// Written are counted by the OS kernel and include TLS, HTTP and files. CPUMost and PeakRSSMost are the maxima over the
// processes of the class, where a host of hollow nodes counts with its mean.
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

// childSample is the resource use and the counters of one child at one time.
type childSample struct {
	Usage
	sample Sample
}

// sampleTimeout is the time limit for sampling all children.
const sampleTimeout = 20 * time.Second

// sampleAll samples every child that has a class. Children that do not answer are missing from the result.
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

// metrics reads the counters of a real process from its operator API.
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
		return s, fmt.Errorf("metrics of %s: got status %d", operator, resp.StatusCode)
	}
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if k, v, ok := strings.Cut(lines.Text(), " "); ok {
			n, _ := strconv.ParseInt(v, 10, 64)
			s.Counts[strings.TrimPrefix(k, "wallport_")] = n
		}
	}
	return s, nil
}

// rates returns the rates of a class between two samples, over the children that are in both samples.
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
