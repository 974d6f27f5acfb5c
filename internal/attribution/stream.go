package attribution

// StreamEnd describes an answer of a stream that ended without an error of its framing.
type StreamEnd struct {
	// Continued is set if the caller has received events of an earlier attempt, which
	// broke off.
	Continued bool
	// Events is the number of events of this answer.
	Events int
	// CloseDelimited is set if only the close of the connection marked the end.
	CloseDelimited bool
	// FromStart is set if the caller asked for the stream from its first event.
	FromStart bool
}

// ProvesEnd reports whether the end of an answer is the end of its stream. An answer
// without events continues nothing: a sound endpoint has at least the event at which the
// earlier attempt broke off, or the caller has all events and can resume to learn that.
func (e StreamEnd) ProvesEnd() bool {
	switch {
	case e.Events > 0:
		return true
	case e.Continued:
		return false
	}
	// An endpoint that ends before its first event closes the connection too.
	return !e.CloseDelimited || !e.FromStart
}
