package declared

import (
	"crypto/sha256"
	"fmt"

	"github.com/balsamstair/balsamstair/internal/strict"
)

// MaxFileBytes is the size limit of one declared file, all parts together.
const MaxFileBytes = 8 << 20

// Problem is one error in a declared file or a manifest.
type Problem = strict.Problem

// Error holds all problems of one declared file or manifest. Every error of
// Parse, ParseManifest and Assemble is an *Error.
type Error = strict.Error

// Parse returns the file that data declares, or an *Error with all of its
// problems. Unknown keys are problems. The result depends on data alone.
func Parse(data []byte) (*File, error) {
	if len(data) > MaxFileBytes {
		return nil, documentError("", "the file has %d bytes, over the limit of %d", len(data), MaxFileBytes)
	}
	f := &File{}
	report := strict.Decode(data, f)
	if !report.Unusable {
		validate(f, report)
	}
	if err := report.Err(); err != nil {
		return nil, err
	}
	f.digest = sha256.Sum256(data)
	f.index = newIndex(f)
	return f, nil
}

// documentError returns an *Error for a document as a whole.
func documentError(key, format string, args ...any) error {
	return &Error{Problems: []Problem{{Line: 1, Key: key, Reason: fmt.Sprintf(format, args...)}}}
}
