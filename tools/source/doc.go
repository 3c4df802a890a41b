// Package source checks what the formatter and the linter do not: that the areas import downwards only, that
// imports stand in groups, and that each package has one package comment.
package source
