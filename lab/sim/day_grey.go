// Backends that fail part of their requests while their health is good.

package sim

// greyWay is how a grey backend fails a request.
type greyWay string

// The ways in which grey backends fail, as the platform names them.
const (
	greyErrors greyWay = "errors"
	greyShed   greyWay = "shed"
	greyBusy   greyWay = "busy"
	greyHang   greyWay = "hang"
	greyReset  greyWay = "reset"
	greyMute   greyWay = "mute"
	greySlow   greyWay = "slow"
)

// grey is a backend's failing: a share of its requests, of all callers or those of one zone.
type grey struct {
	way   greyWay
	share float64
	slow  int64
	zone  string
}

func greyOf(e *entry) grey {
	g := grey{way: greyErrors, share: e.xOr(0.4)}
	for _, way := range []greyWay{greyErrors, greyShed, greyBusy, greyHang, greyReset, greyMute, greySlow} {
		if e.is(string(way)) {
			g.way = way
		}
	}
	if g.way == greySlow {
		g.share, g.slow = 1, int64(e.xOr(8))
	}
	if e.is("one_zone") {
		g.zone = e.toZone
	}
	return g
}

// lying fails everything while health answers are good, or nothing where they are bad.
func lying(e *entry) grey {
	if e.is("bad") {
		return grey{}
	}
	g := greyOf(e)
	g.share = 1
	return g
}

// meets reports whether a caller's request is one that fails.
func (g *grey) meets(d *day, zone string) bool {
	return g.share > 0 && (g.zone == "" || g.zone == zone) && d.w.rnd.Float64() < g.share
}

// factor is how many times as long a request's work takes.
func (g *grey) factor(j *job) int64 {
	if j.fails == greySlow {
		return max(1, g.slow)
	}
	return 1
}

// turnsAway ends a request that a grey backend does not even begin.
func (l *life) turnsAway(x *exchange, j *job) bool {
	switch j.fails {
	case greyShed:
		x.turnedAway(l, 503, "full")
	case greyBusy:
		x.turnedAway(l, 429, "busy")
	case greyMute:
		// It was read, and nothing ever comes of it.
		l.d.w.Judge.Count("muted_requests", 1)
	default:
		return false
	}
	return true
}
