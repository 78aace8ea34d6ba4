// Package operate is what operators do, for the command line and the web page
// alike: the table's rows, top-ups, and the release of a terminated host.
package operate
