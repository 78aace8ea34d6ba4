package gateway

// Answer writes the answer to one request to the caller.
type Answer interface {
	// Send writes a whole answer.
	Send(status int, fields []Field, body []byte) error
	// Begin starts a streamed answer; its head is written with the first part.
	Begin(status int, fields []Field) error
	// Write writes a part of a streamed answer.
	Write(data []byte) error
	// End completes a streamed answer.
	End() error
	// Begun reports whether a part of the answer may have reached the caller.
	Begun() bool
	// Finish ends the request and reports how it ended. If err is not nil, it is written
	// as a refusal, or the answer is aborted if a part of it may have reached the caller.
	// A later call does nothing and reports the same.
	Finish(err error) Ending
}
