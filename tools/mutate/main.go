// Command mutate proves that the checkers can fail: it takes one guard at a
// time out of a copy of the tree and runs the scenario that must notice. The
// list is a text file; each entry names the guard, the file, the code, what it
// becomes, and the scenario with the point that must be violated, or the test
// that must fail.
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

// read takes the entries of one list.
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
				fail(fmt.Errorf("%s: entry %d: no such line: %s", list, i+1, line))
			}
		}
		all = append(all, m)
	}
	return all
}

// try builds the mutant, in a copy of the tree whose path leaves no trace, so that packages that did not
// change are built once for all mutants. It looks for the violation.
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
		return false, fmt.Errorf("%s has the code %d times", m.file, n)
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
