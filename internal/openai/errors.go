package openai

import "fmt"

// Kind says what is wrong with a request or an event.
type Kind string

// The closed list of kinds.
const (
	// NotJSON means that the bytes are not one JSON object.
	NotJSON Kind = "not_json"
	// Missing means that a field that must be there is not, or is empty.
	Missing Kind = "missing"
	// WrongType means that a field has another JSON type than it must have.
	WrongType Kind = "wrong_type"
	// OutOfRange means that a number is too small or too large.
	OutOfRange Kind = "out_of_range"
	// TooMany means that a list is longer than its limit.
	TooMany Kind = "too_many"
	// Twice means that an object names a field twice, which two readers may
	// understand in two ways.
	Twice Kind = "twice"
	// TooLarge means that a collected answer is longer than its limit.
	TooLarge Kind = "too_large"
	// EngineFailed means that the engine put an error in place of a chunk.
	EngineFailed Kind = "engine_failed"
)

// Error is what is wrong. It quotes nothing of what a caller or an engine
// wrote but the names of fields.
type Error struct {
	Kind Kind
	// Field is the path of the field, or empty for the whole.
	Field string
	// Limit is the bound that was passed, for OutOfRange, TooMany and
	// TooLarge.
	Limit int
}

// Error implements error.
func (e *Error) Error() string {
	what := e.Field
	if what == "" {
		what = "the body"
	}
	switch e.Kind {
	case NotJSON:
		return what + " is not a JSON object"
	case Missing:
		return what + " is missing or empty"
	case WrongType:
		return what + " has the wrong type"
	case OutOfRange:
		return fmt.Sprintf("%s must lie between 1 and %d", what, e.Limit)
	case TooMany:
		return fmt.Sprintf("%s has more than %d entries", what, e.Limit)
	case Twice:
		return what + " is given twice"
	case TooLarge:
		return fmt.Sprintf("%s is longer than %d bytes", what, e.Limit)
	case EngineFailed:
		return "the engine reported an error in its answer"
	}
	return string(e.Kind) + " " + what
}
