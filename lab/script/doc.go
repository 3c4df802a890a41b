// Package script reads scenario files. The simulator and the fleet runner,
// which uses real processes, use the same format: a line is "set NAME VALUE",
// "at TIME VERB ARGS..." or "expect NAME OP VALUE", and text after # is a
// comment.
package script
