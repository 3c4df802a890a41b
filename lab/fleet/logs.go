// Counters from the logs of processes that have stopped.

package fleet

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
)

var served = regexp.MustCompile(`event=served .*read=([0-9]+)`)

// readByStoppedNodes returns the number of requests that were read by nodes that have stopped gracefully. Each node
// logs its counter when it stops, since its metrics are lost with the process.
func (f *Fleet) readByStoppedNodes() (sum int64) {
	for _, n := range f.Nodes {
		b, err := os.ReadFile(filepath.Join(f.options.Dir, n.Name+".log"))
		if err != nil {
			continue
		}
		for _, m := range served.FindAllSubmatch(b, -1) {
			v, _ := strconv.ParseInt(string(m[1]), 10, 64)
			sum += v
		}
	}
	return sum
}
