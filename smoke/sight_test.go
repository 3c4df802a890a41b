// Checks of the diagnostics of a failed request: its log line, its trace, and the metrics.

package smoke

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// checkFailureIsExplained sends a request that fails because its backend's response has no seal. It then checks that the
// log line, the trace and the metrics report the failure.
func checkFailureIsExplained(t *testing.T, clients, operator string, log *output) {
	t.Helper()
	status, _, _ := send("GET", clients+"/a/fails", "", "")
	must.Eq(t, http.StatusBadGateway, status)
	waitFor(t, "the failed request is logged", func() bool {
		text := log.String()
		at := strings.Index(text, "event=request_failed")
		return at >= 0 && strings.Contains(text[at:], "id=a1 ") && strings.Contains(text[at:], "a success without a seal")
	})
	resp, err := http.Get("http://" + operator + "/v1/explain/a1")
	must.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, resp.StatusCode, must.Sprint(string(text)))
	for _, part := range []string{`"request":"a1"`, `"revision":3`, `"path":"/a/fails"`, `"written_us":`} {
		must.StrContains(t, string(text), part)
	}
	_, _, figures := send("GET", operator+"/metrics", "", "")
	must.StrContains(t, figures, `wallport_invariant_violations{invariant="runs_once"} 0`)
	status, _, _ = send("GET", operator+"/v1/explain/no-such-request", "", "")
	must.Eq(t, http.StatusNotFound, status)
}
