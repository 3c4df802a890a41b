// Package source has tests of the source code for rules that the formatter and the linter do not check: packages
// import only from areas of the same or a lower layer, imports are grouped, and each package has one package comment.
package source
