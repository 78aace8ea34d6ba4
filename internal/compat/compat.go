// Package compat holds the tests of what two builds that serve beside each other write and
// read: rows of the store, messages between hosts and heads of tunnels. The samples were
// written by build e577979, of values of which all fields are set; types.go beside them has
// the types of that build.
package compat
