package config

import (
	"fmt"
	"slices"

	"wallport/api/configpb"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// Kinds lists the kinds of requests that have quotas.
var Kinds = []string{"search", "read", "correct", "part"}

// Bounds of the durations in a configuration.
const (
	minSpan      = clock.Millisecond
	maxSpan      = clock.Minute
	maxSlowStart = 10 * maxSpan
)

// Check returns a finding for every error in a configuration. A configuration without findings may be put in force.
func Check(configuration *configpb.Sheet) []wire.Finding {
	c := &collector{}
	services := map[string]int{}
	for i, service := range configuration.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.checkService(path, service)
		if first, duplicate := services[service.Index]; duplicate {
			c.add(path+".index", "%q is in services[%d] already", service.Index, first)
			continue
		}
		services[service.Index] = i
	}
	c.checkQuotas(configuration, services)
	c.checkReservations(configuration.Bookings, services)
	c.checkOverlaps(configuration.Bookings)
	return c.found
}

func (c *collector) checkService(path string, service *configpb.Service) {
	if service.Index == "" {
		c.add(path+".index", "is needed")
	}
	if service.Capacity < 1 {
		c.add(path+".capacity", "must be at least 1, is %d", service.Capacity)
	}
	if service.RequiredShare < 1 || service.RequiredShare > 100 {
		c.add(path+".required_share", "must be 1 to 100, is %d", service.RequiredShare)
	}
	if service.DeadlineUs < minSpan || service.DeadlineUs > maxSpan {
		c.add(path+".deadline_us", "must be %d to %d, is %d", minSpan, maxSpan, service.DeadlineUs)
	}
	if service.MaxDeadlineUs < service.DeadlineUs || service.MaxDeadlineUs > maxSpan {
		c.add(path+".max_deadline_us", "must be from deadline_us to %d, is %d", maxSpan, service.MaxDeadlineUs)
	}
	if service.HedgeUs < minSpan || service.HedgeUs > maxSpan {
		c.add(path+".hedge_us", "must be %d to %d, is %d", minSpan, maxSpan, service.HedgeUs)
	}
	if service.RampUs < 0 || service.RampUs > maxSlowStart {
		c.add(path+".ramp_us", "must be 0 to %d, is %d", maxSlowStart, service.RampUs)
	}
}

// checkQuotas checks the quota rows. services maps each index to its position in the table of services.
func (c *collector) checkQuotas(configuration *configpb.Sheet, services map[string]int) {
	shares := map[string]int32{}
	seen := map[string]int{}
	for i, row := range configuration.Rows {
		path := fmt.Sprintf("rows[%d]", i)
		c.checkSubject(path, row.Index, row.Kind, services)
		if first, duplicate := seen[quotaKey(row)]; duplicate {
			c.add(path, "the row of %q and %q is rows[%d] already", row.Index, row.Kind, first)
			continue
		}
		seen[quotaKey(row)] = i
		if row.Share < 0 || row.Share > 100 {
			c.add(path+".share", "must be 0 to 100, is %d", row.Share)
		}
		if row.Ceiling < 0 {
			c.add(path+".ceiling", "must not be negative, is %d", row.Ceiling)
		}
		shares[row.Index] += row.Share
	}
	for i, service := range configuration.Services {
		if sum := shares[service.Index]; sum != 100 {
			c.add(fmt.Sprintf("services[%d].index", i), "the shares of %q add up to %d, not 100", service.Index, sum)
		}
	}
}

// checkSubject checks the index and the kind that a quota row or a booking applies to.
func (c *collector) checkSubject(path, index, kind string, services map[string]int) {
	if _, ok := services[index]; !ok {
		c.add(path+".index", "no service has the index %q", index)
	}
	if !slices.Contains(Kinds, kind) {
		c.add(path+".kind", "%q is not one of search, read, correct, part", kind)
	}
}

func (c *collector) checkReservations(reservations []*configpb.Booking, services map[string]int) {
	seen := map[string]int{}
	for i, booking := range reservations {
		path := fmt.Sprintf("bookings[%d]", i)
		if booking.Id == "" {
			c.add(path+".id", "is needed")
		} else if first, duplicate := seen[booking.Id]; duplicate {
			c.add(path+".id", "%q is bookings[%d] already", booking.Id, first)
		}
		seen[booking.Id] = i
		c.checkSubject(path, booking.Index, booking.Kind, services)
		if booking.Slice < 1 || booking.Slice > 100 {
			c.add(path+".slice", "must be 1 to 100, is %d", booking.Slice)
		}
		if booking.StartsUs < 0 {
			c.add(path+".starts_us", "must not be negative, is %d", booking.StartsUs)
		}
		if booking.EndsUs <= booking.StartsUs {
			c.add(path+".ends_us", "the window ends at %d, not after its start at %d", booking.EndsUs, booking.StartsUs)
		}
	}
}

// checkOverlaps checks that the bookings of an index never add up to more than its capacity. Their total rises only
// when a booking starts, so it is sufficient to check the start times.
func (c *collector) checkOverlaps(reservations []*configpb.Booking) {
	for i, booking := range reservations {
		var sum int32
		for _, other := range reservations {
			if other.Index == booking.Index && other.StartsUs <= booking.StartsUs && booking.StartsUs < other.EndsUs {
				sum += other.Slice
			}
		}
		if sum > 100 {
			c.add(fmt.Sprintf("bookings[%d].slice", i), "bookings of %q that overlap at %d take %d%% of the pool", booking.Index, booking.StartsUs, sum)
		}
	}
}
