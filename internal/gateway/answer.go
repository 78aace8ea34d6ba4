package gateway

// Answer is the caller's side of an answer.
type Answer interface {
	// Whole sends a whole answer.
	Whole(status int, fields []Field, body []byte) error
	// Begin starts a streamed answer; its head goes out with the first part.
	Begin(status int, fields []Field) error
	// Write sends a part of a streamed answer.
	Write(data []byte) error
	// End completes a streamed answer.
	End() error
	// Begun reports whether a part of the answer may have reached the caller.
	Begun() bool
}
