// Backends that fail a share of their requests while their health checks pass (grey failures).

package sim

// failureMode is how a grey backend fails a request.
type failureMode string

// The modes of grey failures, as the platform names them.
const (
	failWithErrors  failureMode = "errors"
	failWithRejects failureMode = "shed"
	failWithBusy    failureMode = "busy"
	failByHanging   failureMode = "hang"
	failByReset     failureMode = "reset"
	failSilently    failureMode = "mute"
	failBySlowness  failureMode = "slow"
)

// partialFailure is a backend's grey failure: the share of its requests that fail, of all callers or of those in one zone.
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

// misreportedHealthOf fails every request while health checks pass, or none while they fail.
func misreportedHealthOf(step *dayStep) partialFailure {
	if step.has("bad") {
		return partialFailure{}
	}
	g := partialFailureOf(step)
	g.share = 1
	return g
}

// drawFails draws whether a request fails.
func (g *partialFailure) drawFails(d *day, zone string) bool {
	return g.share > 0 && (g.zone == "" || g.zone == zone) && d.sim.rng.Float64() < g.share
}

// factor returns how many times as long a request's work takes.
func (g *partialFailure) factor(j *job) int64 {
	if j.mode == failBySlowness {
		return max(1, g.slow)
	}
	return 1
}

// rejectsEarly ends a request that a grey backend does not even start, and reports whether it did.
func (inc *incarnation) rejectsEarly(x *exchange, j *job) bool {
	switch j.mode {
	case failWithRejects:
		x.rejected(inc, 503, "full")
	case failWithBusy:
		x.rejected(inc, 429, "busy")
	case failSilently:
		// It is read, and never answered.
		inc.day.sim.Checker.Count("muted_requests", 1)
	default:
		return false
	}
	return true
}
