// Package pages checks that what the documentation names is there, and that what is there is named.
package pages
