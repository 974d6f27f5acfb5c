package declared

import (
	"bytes"
	"crypto/sha256"
	"regexp"

	"github.com/balsamstair/balsamstair/internal/strict"
)

const (
	// MaxValueBytes is the size limit of a value on the platform, and so of one
	// part of a file.
	MaxValueBytes = 1 << 20
	maxParts      = 4096
	maxKeyBytes   = 128

	// Key is the platform's key of the declared file or its manifest.
	Key = "declared"

	tablePart = "part"
)

// Manifest lists the parts of a file that is published as several values. The
// file is the concatenation of its parts in order.
type Manifest struct {
	// Manifest is always true; it distinguishes manifests from files.
	Manifest bool `toml:"manifest"`
	// Revision is the revision of the file.
	Revision uint64 `toml:"revision"`
	Parts    []Part `toml:"part"`
}

// Part is one value that holds a part of a file.
type Part struct {
	// Key is the platform's key of the value.
	Key string `toml:"key"`
	// SHA256 is the hex digest of the value.
	SHA256 string `toml:"sha256"`
}

// Digest returns the digest of the part's bytes. It is zero if SHA256 is
// malformed, which cannot occur in a manifest that ParseManifest returned.
func (p Part) Digest() Digest {
	d, _ := parseDigest(p.SHA256)
	return d
}

var (
	manifestKey      = regexp.MustCompile(`(?m)^[ \t]*manifest[ \t]*=`)
	firstTableHeader = regexp.MustCompile(`(?m)^[ \t]*\[`)
)

// IsManifest reports whether data, the value of Key, is intended as a manifest
// and not as a file.
func IsManifest(data []byte) bool {
	topLevel := data
	if at := firstTableHeader.FindIndex(data); at != nil {
		topLevel = data[:at[0]]
	}
	return manifestKey.Match(topLevel)
}

// ParseManifest returns the manifest in data, or an *Error with all of its
// problems.
func ParseManifest(data []byte) (*Manifest, error) {
	if len(data) > MaxValueBytes {
		return nil, documentError("", "the manifest has %d bytes, over the limit of %d", len(data), MaxValueBytes)
	}
	m := &Manifest{}
	report := strict.Decode(data, m)
	if !report.Unusable {
		m.validate(report)
	}
	if err := report.Err(); err != nil {
		return nil, err
	}
	return m, nil
}

func (m *Manifest) validate(report *strict.Report) {
	if !m.Manifest {
		report.Add(strict.Path{Key: "manifest"}, "must be true")
	}
	if m.Revision == 0 {
		report.Add(strict.Path{Key: "revision"}, "is missing; revisions count from 1")
	}
	if n := len(m.Parts); n == 0 || n > maxParts {
		report.Add(strict.Path{Key: tablePart}, "the manifest lists %d parts, not 1 to %d", n, maxParts)
	}
	firstIndex := make(map[string]int, len(m.Parts))
	for i, p := range m.Parts {
		r := element{tablePart, i}
		if _, ok := parseDigest(p.SHA256); !ok {
			report.Add(r.key("sha256"), "is not a SHA-256 digest of 64 hexadecimal digits")
		}
		if !partKey.MatchString(p.Key) || len(p.Key) > maxKeyBytes || p.Key == Key {
			report.Add(r.key("key"), "%.*q cannot be the key of a part", maxKeyBytes, p.Key)
			continue
		}
		if earlier, ok := firstIndex[p.Key]; ok {
			report.Add(r.key("key"), "%q is listed twice, first on line %d", p.Key, report.Line(element{tablePart, earlier}.key("key")))
			continue
		}
		firstIndex[p.Key] = i
	}
}

// partKey matches keys that form a single path segment, since a value is read at
// a path that ends in its key.
var partKey = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Assemble returns the file that the parts of m form, in the order of m. It
// returns an *Error if a part is missing or does not have the digest that m
// lists, or if the assembled file is not valid or has another revision than m.
// Lines in an *Error about the content are counted across all parts.
func Assemble(m *Manifest, parts [][]byte) (*File, error) {
	if len(parts) != len(m.Parts) {
		return nil, documentError(tablePart, "got %d parts, the manifest lists %d", len(parts), len(m.Parts))
	}
	size := 0
	mismatch := &Error{}
	for i, data := range parts {
		size += len(data)
		if Digest(sha256.Sum256(data)) != m.Parts[i].Digest() {
			mismatch.Problems = append(mismatch.Problems, Problem{Line: 1, Key: m.Parts[i].Key,
				Reason: "the part's bytes are not those whose digest the manifest lists"})
		}
	}
	if len(mismatch.Problems) > 0 {
		return nil, mismatch
	}
	if size > MaxFileBytes {
		return nil, documentError("", "the file has %d bytes, over the limit of %d", size, MaxFileBytes)
	}
	f, err := Parse(bytes.Join(parts, nil))
	if err != nil {
		return nil, err
	}
	if f.Revision != m.Revision {
		return nil, documentError("revision", "the file's revision is %d and the manifest's %d", f.Revision, m.Revision)
	}
	return f, nil
}

// PartsToFetch returns the parts of next whose bytes are not in current, each
// digest once, in the order of next. A nil current has no parts. A change thus
// transfers only the parts that it altered.
func PartsToFetch(current, next *Manifest) []Part {
	available := make(map[Digest]bool)
	if current != nil {
		for _, p := range current.Parts {
			available[p.Digest()] = true
		}
	}
	var fetch []Part
	for _, p := range next.Parts {
		if d := p.Digest(); !available[d] {
			available[d] = true
			fetch = append(fetch, p)
		}
	}
	return fetch
}
