// Package pages has tests of the documentation: every name of code in it must exist in the source tree, and it must
// name every scenario, fleet script, mutant and checked point.
package pages
