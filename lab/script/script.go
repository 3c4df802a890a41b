package script

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"wallport/runtime/clock"
)

// Step is an action at a given time. At is in microseconds from the start of the scenario.
type Step struct {
	Line int
	At   clock.Micros
	Verb string
	Args []string
}

// Expect is an expectation about a counter at the end of a run. Op is ==, <= or >=.
type Expect struct {
	Line int
	Name string
	Op   string
	Want int64
}

// Script is a parsed scenario.
type Script struct {
	Name    string
	Set     map[string]string
	Steps   []Step
	Expects []Expect
}

// Uses reports whether any step has the given verb; a nil script has no steps.
func (s *Script) Uses(verb string) bool {
	return s != nil && slices.ContainsFunc(s.Steps, func(step Step) bool { return step.Verb == verb })
}

// Load reads and parses a scenario file.
func Load(path string) (*Script, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, string(b))
}

// Parse parses a scenario. Its steps are sorted by time. The error lists all invalid lines, each with the scenario's
// name and the line number.
func Parse(name, text string) (*Script, error) {
	s := &Script{Name: name, Set: map[string]string{}}
	var errs []string
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		if err := s.line(i+1, f); err != nil {
			errs = append(errs, fmt.Sprintf("%s:%d: %v", name, i+1, err))
		}
	}
	if len(errs) > 0 {
		return nil, fmt.Errorf("%s", strings.Join(errs, "\n"))
	}
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return s, nil
}

func (s *Script) line(n int, f []string) error {
	switch {
	case f[0] == "set" && len(f) == 3:
		s.Set[f[1]] = f[2]
	case f[0] == "at" && len(f) >= 3:
		d, err := time.ParseDuration(f[1])
		if err != nil {
			return err
		}
		s.Steps = append(s.Steps, Step{Line: n, At: d.Microseconds(), Verb: f[2], Args: f[3:]})
	case f[0] == "expect" && len(f) == 4:
		v, err := strconv.ParseInt(f[3], 10, 64)
		if err != nil {
			return err
		}
		if f[2] != "==" && f[2] != "<=" && f[2] != ">=" {
			return fmt.Errorf("operator %q is not one of ==, <=, >=", f[2])
		}
		s.Expects = append(s.Expects, Expect{Line: n, Name: f[1], Op: f[2], Want: v})
	default:
		return fmt.Errorf("line is neither set NAME VALUE, at TIME VERB ARGS nor expect NAME OP VALUE")
	}
	return nil
}

// Int returns a setting as an integer, or fallback if it is not set or not an integer.
func (s *Script) Int(name string, fallback int64) int64 {
	if v, ok := s.Set[name]; ok {
		if n, err := strconv.ParseInt(v, 10, 64); err == nil {
			return n
		}
	}
	return fallback
}

// Text returns a setting, or fallback if it is not set.
func (s *Script) Text(name, fallback string) string {
	if v, ok := s.Set[name]; ok {
		return v
	}
	return fallback
}

// Met reports whether a counter's value satisfies the expectation.
func (e Expect) Met(got int64) bool {
	switch e.Op {
	case "==":
		return got == e.Want
	case "<=":
		return got <= e.Want
	}
	return got >= e.Want
}
