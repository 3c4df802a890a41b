// Backends that fail a share of their requests while their health checks pass (grey failures).

package sim

// greyMode is how a grey backend fails a request.
type greyMode string

// The modes of grey failures, as the platform names them.
const (
	greyErrors  greyMode = "errors"
	greyRejects greyMode = "shed"
	greyBusy    greyMode = "busy"
	greyHang    greyMode = "hang"
	greyReset   greyMode = "reset"
	greyMute    greyMode = "mute"
	greySlow    greyMode = "slow"
)

// grey is a backend's grey failure: the share of its requests that fail, of all callers or of those in one zone.
type grey struct {
	mode  greyMode
	share float64
	slow  int64
	zone  string
}

func greyOf(step *dayStep) grey {
	g := grey{mode: greyErrors, share: step.factorOr(0.4)}
	for _, way := range []greyMode{greyErrors, greyRejects, greyBusy, greyHang, greyReset, greyMute, greySlow} {
		if step.has(string(way)) {
			g.mode = way
		}
	}
	if g.mode == greySlow {
		g.share, g.slow = 1, int64(step.factorOr(8))
	}
	if step.has("one_zone") {
		g.zone = step.toZone
	}
	return g
}

// lying fails every request while health checks pass, or none while they fail.
func lying(step *dayStep) grey {
	if step.has("bad") {
		return grey{}
	}
	g := greyOf(step)
	g.share = 1
	return g
}

// meets draws whether a request fails.
func (g *grey) meets(d *day, zone string) bool {
	return g.share > 0 && (g.zone == "" || g.zone == zone) && d.world.rng.Float64() < g.share
}

// factor returns how many times as long a request's work takes.
func (g *grey) factor(j *job) int64 {
	if j.mode == greySlow {
		return max(1, g.slow)
	}
	return 1
}

// rejectsEarly ends a request that a grey backend does not even start, and reports whether it did.
func (inc *incarnation) rejectsEarly(x *exchange, j *job) bool {
	switch j.mode {
	case greyRejects:
		x.rejected(inc, 503, "full")
	case greyBusy:
		x.rejected(inc, 429, "busy")
	case greyMute:
		// It is read, and never answered.
		inc.day.world.Checker.Count("muted_requests", 1)
	default:
		return false
	}
	return true
}
