package scheduler

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PromptPart identifies a part of a prompt, which many requests may share.
type PromptPart uint64

// maxPartDigits is the number of hexadecimal digits up to which a part's ID is
// its value.
const maxPartDigits = 16

// ParsePromptPart returns the part with a hexadecimal ID. Case and leading zeros
// do not matter. Another ID is represented by its hash.
func ParsePromptPart(id string) PromptPart {
	if len(id) <= maxPartDigits {
		if value, err := strconv.ParseUint(id, 16, 64); err == nil {
			return PromptPart(value)
		}
	}
	return PromptPart(xxhash.Sum64String(strings.ToLower(id)))
}

// String returns the form of the part's ID in the log.
func (p PromptPart) String() string { return strconv.FormatUint(uint64(p), 16) }

// loggedParts is the number of parts of one prompt that are logged.
const loggedParts = 8

// FormatPromptParts returns the form of a prompt's parts in the log. Parts beyond
// the first few are only counted.
func FormatPromptParts(parts []PromptPart) string {
	var b strings.Builder
	for k, part := range parts {
		if k == loggedParts {
			b.WriteString("+" + strconv.Itoa(len(parts)-k))
			break
		}
		if k > 0 {
			b.WriteByte(',')
		}
		b.WriteString(part.String())
	}
	return b.String()
}
