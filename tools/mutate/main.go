// Command mutate checks that the tests and checkers detect faults. For each
// mutant it removes one guard from a copy of the source tree, and runs the test
// that must fail or the scenario in which a check must report a violation.
//
// The mutants are listed in tools/mutate/*.txt. An entry has the title of the guard, the file, the old and the new
// code, and either a scenario with the point of the checker that must be violated or the arguments of go test. If
// mutate has an argument, it runs only the mutants whose title contains the argument.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

type mutant struct{ guard, file, old, new, scenario, point, test string }

func main() {
	lists, err := filepath.Glob("tools/mutate/*.txt")
	if err != nil {
		fail(err)
	}
	seeds := "6"
	var all []mutant
	for _, list := range lists {
		all = append(all, read(list)...)
	}
	survived := 0
	for _, m := range all {
		if len(os.Args) > 1 && !strings.Contains(m.guard, os.Args[1]) {
			continue
		}
		caught, err := try(m, seeds)
		switch {
		case err != nil:
			survived++
			fmt.Printf("BROKEN   %-55s %v\n", m.guard, err)
		case caught:
			fmt.Printf("caught   %-55s %s by %s\n", m.guard, m.point, m.scenario)
		default:
			survived++
			fmt.Printf("SURVIVED %-55s %s by %s\n", m.guard, m.point, m.scenario)
		}
	}
	if survived > 0 {
		os.Exit(1)
	}
}

// read parses the entries of one list, which are separated by blank lines.
func read(list string) (all []mutant) {
	b, err := os.ReadFile(list)
	if err != nil {
		fail(err)
	}
	for i, block := range strings.Split(strings.TrimSpace(string(b)), "\n\n") {
		m := mutant{}
		for _, line := range strings.Split(block, "\n") {
			k, v, _ := strings.Cut(line, ": ")
			switch k {
			case "guard":
				m.guard = v
			case "file":
				m.file = v
			case "old":
				m.old = v
			case "new":
				m.new = v
			case "scenario":
				m.scenario = v
			case "point":
				m.point = v
			case "test":
				m.test, m.scenario, m.point = v, v, "failed"
			default:
				fail(fmt.Errorf("%s: entry %d: unknown key in line: %s", list, i+1, line))
			}
		}
		all = append(all, m)
	}
	return all
}

// try applies the mutant to a copy of the source tree, runs its test or scenario, and reports whether the mutant was
// caught. It builds with -trimpath, so that the build does not depend on the path of the copy and unchanged packages
// are built only once for all mutants.
func try(m mutant, seeds string) (bool, error) {
	dir, err := os.MkdirTemp("", "wallport-mutant-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	if out, err := exec.Command("cp", "-r", ".", dir).CombinedOutput(); err != nil {
		return false, fmt.Errorf("%v: %s", err, out)
	}
	path := filepath.Join(dir, m.file)
	b, err := os.ReadFile(path)
	if err != nil {
		return false, err
	}
	if n := strings.Count(string(b), m.old); n != 1 {
		return false, fmt.Errorf("%s contains the old code %d times, want 1", m.file, n)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(b), m.old, m.new, 1)), 0o600); err != nil {
		return false, err
	}
	if m.test != "" {
		run := exec.Command("go", append([]string{"test", "-trimpath", "-count=1"}, strings.Fields(m.test)...)...)
		run.Dir = dir
		out, err := run.CombinedOutput()
		if strings.Contains(string(out), "[build failed]") {
			return false, fmt.Errorf("does not build: %s", out)
		}
		return err != nil, nil
	}
	build := exec.Command("go", "build", "-trimpath", "-o", filepath.Join(dir, "lab-mutant"), "./cmd/lab")
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return false, fmt.Errorf("does not build: %s", out)
	}
	run := exec.Command("./lab-mutant", "sim", "--seeds", seeds, "scenarios/"+m.scenario)
	run.Dir = dir
	out, _ := run.CombinedOutput()
	return strings.Contains(string(out), "   "+m.point), nil
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}
