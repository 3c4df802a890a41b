// What a sweep of drawn days put to the test: each kind of fault, each of its ways, and each rule.

package main

import (
	"fmt"

	"wallport/lab/draw"
	"wallport/lab/rules"
)

// cover prints how often each was met, and returns what never was.
func cover(sums, tested map[string]int64) (never []string) {
	print := func(title, prefix string, names []string, from map[string]int64) {
		fmt.Println(title)
		for _, name := range names {
			n := from[prefix+name]
			fmt.Printf("  %-32s %d\n", name, n)
			if n == 0 {
				never = append(never, title+" "+name)
			}
		}
	}
	kinds, ways := draw.DayKinds()
	print("kind", "kind.", kinds, sums)
	print("way", "way.", ways, sums)
	print("rule", "", rules.Names(), tested)
	return never
}
