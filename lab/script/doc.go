// Package script reads scenario files: small texts of one step a line, shared
// by the fleet runner on real processes and the simulator. A line is
// "set NAME VALUE", "at TIME VERB ARGS..." or "expect NAME OP VALUE"; what
// follows # is a comment.
package script
