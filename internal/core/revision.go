package core

import (
	"cmp"
	"strconv"
)

// Revision is a version of the platform's store, or of a row in it.
type Revision struct {
	// Era counts how often the store has come back from an older copy. What it
	// acknowledged in an earlier era may be gone, and the numbers of that era are
	// given out again.
	Era int64
	// Number increases with each transaction of an era. 0 stands for a row that
	// does not exist.
	Number int64
}

// Compare returns a negative number if r is older than other, a positive number if
// it is newer, and 0 if they are the same.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// String formats the revision as ERA.NUMBER.
func (r Revision) String() string {
	return strconv.FormatInt(r.Era, 10) + "." + strconv.FormatInt(r.Number, 10)
}

// Newer reports whether r is newer than other.
func (r Revision) Newer(other Revision) bool { return r.Compare(other) > 0 }
