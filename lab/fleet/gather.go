// Collects the reports of the backends and the metrics of the nodes.

package fleet

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"wallport/lab/backend"
)

// CountRuns returns the number of executions of each key according to the journals of all backends, and the reports of
// the backends that respond.
func (f *Fleet) CountRuns() (ran map[string]int, reports map[string]backend.Report) {
	ran, reports = map[string]int{}, map[string]backend.Report{}
	for _, s := range f.backends {
		resp, err := f.client.Get("http://" + s.Addr + "/lab/report")
		if err != nil {
			continue
		}
		var r backend.Report
		err = json.NewDecoder(resp.Body).Decode(&r)
		resp.Body.Close()
		if err != nil {
			continue
		}
		reports[s.ID] = r
	}
	// Executions are counted from the journal files because the files remain after a backend is killed.
	for _, s := range f.backends {
		b, err := os.ReadFile(filepath.Join(f.options.Dir, s.ID+".ran"))
		if err != nil {
			continue
		}
		for _, key := range strings.Fields(string(b)) {
			ran[key]++
		}
	}
	return ran, reports
}

// Metric returns the sum of a counter over the nodes that respond.
func (f *Fleet) Metric(name string) int64 {
	var sum int64
	for _, oper := range f.OperatorAddrs {
		resp, err := f.client.Get("http://" + oper + "/metrics")
		if err != nil {
			continue
		}
		sum += readMetric(resp, "wallport_"+name)
	}
	return sum
}

// readMetric returns the value of a metric on a metrics page, 0 if the page does not have it, and closes the body.
func readMetric(resp *http.Response, name string) int64 {
	defer resp.Body.Close()
	var buf strings.Builder
	b := make([]byte, 64<<10)
	for {
		n, err := resp.Body.Read(b)
		buf.Write(b[:n])
		if err != nil {
			break
		}
	}
	for _, line := range strings.Split(buf.String(), "\n") {
		if k, v, ok := strings.Cut(line, " "); ok && k == name {
			n, _ := strconv.ParseInt(v, 10, 64)
			return n
		}
	}
	return 0
}
