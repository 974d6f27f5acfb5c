package declared

import (
	"crypto/sha256"
	"fmt"

	"github.com/balsamstair/balsamstair/internal/strict"
)

// MaxFileBytes bounds one declared file, all parts together.
const MaxFileBytes = 8 << 20

// Problem is one fault of a declared file or a manifest.
type Problem = strict.Problem

// Error holds every problem of one declared file or manifest. Whatever Parse,
// ParseManifest and Assemble refuse, they refuse with an *Error.
type Error = strict.Error

// Parse returns the file that data declares, or an *Error with every problem
// that it has. Unknown keys are problems. The verdict depends on data alone.
func Parse(data []byte) (*File, error) {
	if len(data) > MaxFileBytes {
		return nil, refused("", "the file has %d bytes, over the limit of %d", len(data), MaxFileBytes)
	}
	f := &File{}
	report := strict.Decode(data, f)
	if !report.Broken {
		validate(f, report)
	}
	if err := report.Err(); err != nil {
		return nil, err
	}
	f.digest = sha256.Sum256(data)
	f.index = newIndex(f)
	return f, nil
}

// refused returns an *Error about a document as a whole.
func refused(key, format string, args ...any) error {
	return &Error{Problems: []Problem{{Line: 1, Key: key, Reason: fmt.Sprintf(format, args...)}}}
}
