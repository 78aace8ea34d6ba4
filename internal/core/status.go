package core

const (
	minStatus = 100
	maxStatus = 599
)

// ValidStatus reports whether a number is the status of an HTTP answer. The parser of
// net/http also accepts a sign and numbers from 0 to 999; with a sign, three characters
// never make a valid one.
func ValidStatus(status int) bool { return status >= minStatus && status <= maxStatus }
