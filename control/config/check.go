// The checks that a whole sheet must pass before anything of it takes effect.

package config

import (
	"fmt"
	"slices"

	"wallport/api/configpb"
	"wallport/runtime/wire"
)

// Kinds are the kinds of inquiries.
var Kinds = []string{"search", "read", "correct", "part"}

const maxDuration = 60_000_000

// Check lists every fault of a sheet.
func Check(s *configpb.Sheet) []wire.Finding {
	f := &collector{}
	known := map[string]int{}
	for i, v := range s.Services {
		f.service(fmt.Sprintf("services[%d]", i), v)
		if was, twice := known[v.Index]; twice {
			f.add(fmt.Sprintf("services[%d].index", i), "%q is in services[%d] already", v.Index, was)
			continue
		}
		known[v.Index] = i
	}
	f.rows(s, known)
	f.bookings(s, known)
	return f.found
}

func (f *collector) service(at string, v *configpb.Service) {
	if v.Index == "" {
		f.add(at+".index", "is needed")
	}
	if v.Capacity < 1 {
		f.add(at+".capacity", "must be at least 1, is %d", v.Capacity)
	}
	if v.RequiredShare < 1 || v.RequiredShare > 100 {
		f.add(at+".required_share", "must be 1 to 100, is %d", v.RequiredShare)
	}
	if v.DeadlineUs < 1000 || v.DeadlineUs > maxDuration {
		f.add(at+".deadline_us", "must be 1000 to %d, is %d", maxDuration, v.DeadlineUs)
	}
	if v.MaxDeadlineUs < v.DeadlineUs || v.MaxDeadlineUs > maxDuration {
		f.add(at+".max_deadline_us", "must be from deadline_us to %d, is %d", maxDuration, v.MaxDeadlineUs)
	}
	if v.HedgeUs < 1000 || v.HedgeUs > maxDuration {
		f.add(at+".hedge_us", "must be 1000 to %d, is %d", maxDuration, v.HedgeUs)
	}
	if v.RampUs < 0 || v.RampUs > 10*maxDuration {
		f.add(at+".ramp_us", "must be 0 to %d, is %d", 10*maxDuration, v.RampUs)
	}
}

func (f *collector) rows(s *configpb.Sheet, known map[string]int) {
	sum := map[string]int32{}
	seen := map[string]int{}
	for i, r := range s.Rows {
		at := fmt.Sprintf("rows[%d]", i)
		f.subject(at, r.Index, r.Kind, known)
		if was, twice := seen[r.Index+"\x00"+r.Kind]; twice {
			f.add(at, "the row of %q and %q is rows[%d] already", r.Index, r.Kind, was)
			continue
		}
		seen[r.Index+"\x00"+r.Kind] = i
		if r.Share < 0 || r.Share > 100 {
			f.add(at+".share", "must be 0 to 100, is %d", r.Share)
		}
		if r.Ceiling < 0 {
			f.add(at+".ceiling", "must not be negative, is %d", r.Ceiling)
		}
		sum[r.Index] += r.Share
	}
	for i, v := range s.Services {
		if sum[v.Index] != 100 {
			f.add(fmt.Sprintf("services[%d].index", i), "the shares of %q add up to %d, not 100", v.Index, sum[v.Index])
		}
	}
}

func (f *collector) subject(at, index, kind string, known map[string]int) {
	if _, ok := known[index]; !ok {
		f.add(at+".index", "no service has the index %q", index)
	}
	if !slices.Contains(Kinds, kind) {
		f.add(at+".kind", "%q is not one of search, read, correct, part", kind)
	}
}

func (f *collector) bookings(s *configpb.Sheet, known map[string]int) {
	seen := map[string]int{}
	for i, b := range s.Bookings {
		at := fmt.Sprintf("bookings[%d]", i)
		if b.Id == "" {
			f.add(at+".id", "is needed")
		} else if was, twice := seen[b.Id]; twice {
			f.add(at+".id", "%q is bookings[%d] already", b.Id, was)
		}
		seen[b.Id] = i
		f.subject(at, b.Index, b.Kind, known)
		if b.Slice < 1 || b.Slice > 100 {
			f.add(at+".slice", "must be 1 to 100, is %d", b.Slice)
		}
		if b.StartsUs < 0 {
			f.add(at+".starts_us", "must not be negative, is %d", b.StartsUs)
		}
		if b.EndsUs <= b.StartsUs {
			f.add(at+".ends_us", "the window ends at %d, not after its start at %d", b.EndsUs, b.StartsUs)
		}
	}
	// A pool is fullest where some window starts, so only those moments need a look.
	for i, b := range s.Bookings {
		var sum int32
		for _, o := range s.Bookings {
			if o.Index == b.Index && o.StartsUs <= b.StartsUs && b.StartsUs < o.EndsUs {
				sum += o.Slice
			}
		}
		if sum > 100 {
			f.add(fmt.Sprintf("bookings[%d].slice", i), "bookings of %q that overlap at %d take %d%% of the pool", b.Index, b.StartsUs, sum)
		}
	}
}
