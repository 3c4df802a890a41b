// Coverage of a series of random days, which are generated scenarios on the users' platform: how often each kind of fault
// or planned work, each mode of a kind, and each rule was tested.

package main

import (
	"fmt"

	"wallport/lab/draw"
	"wallport/lab/rules"
)

// printCoverage prints how often each kind, mode and rule was tested, and returns those that were never tested.
func printCoverage(sums, tested map[string]int64) (unmet []string) {
	print := func(title, prefix string, names []string, from map[string]int64) {
		fmt.Println(title)
		for _, name := range names {
			n := from[prefix+name]
			fmt.Printf("  %-32s %d\n", name, n)
			if n == 0 {
				unmet = append(unmet, title+" "+name)
			}
		}
	}
	kinds, ways := draw.DayKinds()
	print("kind", "kind.", kinds, sums)
	print("way", "way.", ways, sums)
	print("rule", "", rules.Names(), tested)
	return unmet
}
