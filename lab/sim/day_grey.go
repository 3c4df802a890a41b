// Backends that fail part of their requests while their health is good.

package sim

// greyMode is how a grey backend fails a request.
type greyMode string

// The ways in which grey backends fail, as the platform names them.
const (
	greyErrors  greyMode = "errors"
	greyRejects greyMode = "shed"
	greyBusy    greyMode = "busy"
	greyHang    greyMode = "hang"
	greyReset   greyMode = "reset"
	greyMute    greyMode = "mute"
	greySlow    greyMode = "slow"
)

// grey is a backend's failing: a share of its requests, of all callers or those of one zone.
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

// lying fails everything while health answers are good, or nothing where they are bad.
func lying(step *dayStep) grey {
	if step.has("bad") {
		return grey{}
	}
	g := greyOf(step)
	g.share = 1
	return g
}

// meets reports whether a caller's request is one that fails.
func (g *grey) meets(d *day, zone string) bool {
	return g.share > 0 && (g.zone == "" || g.zone == zone) && d.world.rng.Float64() < g.share
}

// factor is how many times as long a request's work takes.
func (g *grey) factor(j *job) int64 {
	if j.mode == greySlow {
		return max(1, g.slow)
	}
	return 1
}

// rejectsEarly ends a request that a grey backend does not even begin.
func (inc *incarnation) rejectsEarly(x *exchange, j *job) bool {
	switch j.mode {
	case greyRejects:
		x.rejected(inc, 503, "full")
	case greyBusy:
		x.rejected(inc, 429, "busy")
	case greyMute:
		// It was read, and nothing ever comes of it.
		inc.day.world.Checker.Count("muted_requests", 1)
	default:
		return false
	}
	return true
}
