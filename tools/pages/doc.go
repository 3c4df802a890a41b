// Package pages has tests of the documentation: what it names must exist in the source tree, and every scenario, fleet
// script, mutant and checked point must be named in it.
package pages
