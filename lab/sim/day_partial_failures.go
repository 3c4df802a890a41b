// Partial ("grey") failures: backends that fail a share of their requests while their health checks pass.

package sim

// failureMode is how a partially failing backend fails a request.
type failureMode string

// Modes of partial failures; the texts are the platform's names.
const (
	failWithErrors  failureMode = "errors"
	failWithRejects failureMode = "shed"
	failWithBusy    failureMode = "busy"
	failByHanging   failureMode = "hang"
	failByReset     failureMode = "reset"
	failSilently    failureMode = "mute"
	failBySlowness  failureMode = "slow"
)

// partialFailure describes a backend's partial failure: how requests fail, and which share of the requests fails. If
// zone is set, only requests from nodes in that zone fail. slow is the factor by which failBySlowness lengthens the
// work.
type partialFailure struct {
	mode  failureMode
	share float64
	slow  int64
	zone  string
}

func partialFailureOf(step *dayStep) partialFailure {
	g := partialFailure{mode: failWithErrors, share: step.factorOr(0.4)}
	for _, mode := range []failureMode{failWithErrors, failWithRejects, failWithBusy, failByHanging, failByReset, failSilently, failBySlowness} {
		if step.has(string(mode)) {
			g.mode = mode
		}
	}
	if g.mode == failBySlowness {
		g.share, g.slow = 1, int64(step.factorOr(8))
	}
	if step.has("one_zone") {
		g.zone = step.toZone
	}
	return g
}

// misreportedHealthOf returns the failure of a backend whose health checks mislead: every request fails although
// the checks pass, or with "bad" no request fails although the checks fail.
func misreportedHealthOf(step *dayStep) partialFailure {
	if step.has("bad") {
		return partialFailure{}
	}
	g := partialFailureOf(step)
	g.share = 1
	return g
}

// drawFails draws whether a request from a node in the given zone fails.
func (g *partialFailure) drawFails(d *day, zone string) bool {
	return g.share > 0 && (g.zone == "" || g.zone == zone) && d.sim.rng.Float64() < g.share
}

// factor returns the factor by which the failure lengthens the work on a request.
func (g *partialFailure) factor(j *job) int64 {
	if j.mode == failBySlowness {
		return max(1, g.slow)
	}
	return 1
}

// rejectsEarly rejects or ignores a request if its failure mode takes effect before the backend starts to work on it,
// and reports whether it did so.
func (inc *incarnation) rejectsEarly(x *exchange, j *job) bool {
	switch j.mode {
	case failWithRejects:
		x.rejected(inc, 503, "full")
	case failWithBusy:
		x.rejected(inc, 429, "busy")
	case failSilently:
		// The request is read and never answered.
		inc.day.sim.Checker.Count("muted_requests", 1)
	default:
		return false
	}
	return true
}
