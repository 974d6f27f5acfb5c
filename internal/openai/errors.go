package openai

import "fmt"

// Kind classifies an Error.
type Kind string

// The complete list of kinds.
const (
	// NotJSON means that the data is not exactly one JSON object.
	NotJSON Kind = "not_json"
	// Missing means that a required field is absent or empty.
	Missing Kind = "missing"
	// WrongType means that a field does not have the required JSON type.
	WrongType Kind = "wrong_type"
	// OutOfRange means that a number is outside its allowed range.
	OutOfRange Kind = "out_of_range"
	// TooMany means that a list is longer than its limit.
	TooMany Kind = "too_many"
	// DuplicateField means that an object has a field twice. Two parsers may
	// interpret such an object differently.
	DuplicateField Kind = "twice"
	// TooLarge means that a collected answer is longer than its limit.
	TooLarge Kind = "too_large"
	// EngineError means that the engine sent an error in place of a chunk.
	EngineError Kind = "engine_failed"
)

// Error describes an invalid request or event. It contains no text from the
// caller or the engine except field names.
type Error struct {
	Kind Kind
	// Field is the path of the field, or empty for the whole body.
	Field string
	// Limit is the bound that was exceeded, for OutOfRange, TooMany and
	// TooLarge.
	Limit int
}

// Error implements error.
func (e *Error) Error() string {
	field := e.Field
	if field == "" {
		field = "the body"
	}
	switch e.Kind {
	case NotJSON:
		return field + " is not a JSON object"
	case Missing:
		return field + " is missing or empty"
	case WrongType:
		return field + " has the wrong type"
	case OutOfRange:
		return fmt.Sprintf("%s must lie between 1 and %d", field, e.Limit)
	case TooMany:
		return fmt.Sprintf("%s has more than %d entries", field, e.Limit)
	case DuplicateField:
		return field + " is given twice"
	case TooLarge:
		return fmt.Sprintf("%s is longer than %d bytes", field, e.Limit)
	case EngineError:
		return "the engine reported an error in its answer"
	}
	return string(e.Kind) + " " + field
}
