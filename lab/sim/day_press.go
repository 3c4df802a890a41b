// What clients press beyond the usual.

package sim

// burst multiplies the traffic of a zone, of a kind of requests, or all, for a while.
func (c *clients) burst(e *entry) {
	x := e.xOr(3)
	names := []string{e.zone, e.class}
	if e.zone == "" && e.class == "" {
		names = []string{allTraffic}
	}
	by := func(x float64) {
		for _, name := range names {
			if name != "" {
				c.pressed[name] = c.press(name) * x
			}
		}
	}
	by(x)
	c.d.w.after(e.forUs, func() { by(1 / x) })
}

// allTraffic stands for all zones and kinds.
const allTraffic = "*"

// press is by how much a zone or a kind is pressed.
func (c *clients) press(name string) float64 {
	if x := c.pressed[name]; x > 0 {
		return x
	}
	return 1
}

// perS is how many requests of a kind come in a second before the day's rate.
func (c *clients) perS(k *kindShape) float64 { return k.perS * c.press(k.name) * c.press(allTraffic) }
