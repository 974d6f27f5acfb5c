package declared

import (
	"bytes"
	"crypto/sha256"
	"regexp"

	"github.com/balsamstair/balsamstair/internal/strict"
)

const (
	// MaxValueBytes is the largest value that the platform holds, and so the
	// largest part of a file.
	MaxValueBytes = 1 << 20
	maxParts      = 4096
	maxKeyBytes   = 128

	// Key is the platform's key for the declared file or its manifest.
	Key = "declared"

	tablePart = "part"
)

// Manifest lists the parts of a file that is published in several values. The
// parts in their order, without anything between them, are the file.
type Manifest struct {
	// Manifest is always true; it tells manifests from files.
	Manifest bool `toml:"manifest"`
	// Revision is that of the file.
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

// Digest returns the digest of the part's bytes; it is zero where the
// manifest did not come from ParseManifest and SHA256 is malformed.
func (p Part) Digest() Digest {
	d, _ := parseDigest(p.SHA256)
	return d
}

var (
	manifestMark = regexp.MustCompile(`(?m)^[ \t]*manifest[ \t]*=`)
	firstTable   = regexp.MustCompile(`(?m)^[ \t]*\[`)
)

// IsManifest reports whether data, the value of Key, is meant as a manifest
// and not as a file.
func IsManifest(data []byte) bool {
	head := data
	if at := firstTable.FindIndex(data); at != nil {
		head = data[:at[0]]
	}
	return manifestMark.Match(head)
}

// ParseManifest returns the manifest that data holds, or an *Error with every
// problem that it has.
func ParseManifest(data []byte) (*Manifest, error) {
	if len(data) > MaxValueBytes {
		return nil, refused("", "the manifest has %d bytes, over the limit of %d", len(data), MaxValueBytes)
	}
	m := &Manifest{}
	report := strict.Decode(data, m)
	if !report.Broken {
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
	first := make(map[string]int, len(m.Parts))
	for i, p := range m.Parts {
		r := row{tablePart, i}
		if _, ok := parseDigest(p.SHA256); !ok {
			report.Add(r.key("sha256"), "is not a SHA-256 digest of 64 hexadecimal digits")
		}
		if !partKey.MatchString(p.Key) || len(p.Key) > maxKeyBytes || p.Key == Key {
			report.Add(r.key("key"), "%.*q cannot be the key of a part", maxKeyBytes, p.Key)
			continue
		}
		if earlier, ok := first[p.Key]; ok {
			report.Add(r.key("key"), "%q is listed twice, first on line %d", p.Key, report.Line(row{tablePart, earlier}.key("key")))
			continue
		}
		first[p.Key] = i
	}
}

// partKey holds a key to one segment of a path.
var partKey = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Assemble returns the file that the parts of m make, in the order of m. It
// returns an *Error, and nothing comes into force, where a part is missing,
// is not the one that m lists, or where the whole is not a valid file of m's
// revision. Lines in an *Error about the content count through all parts.
func Assemble(m *Manifest, parts [][]byte) (*File, error) {
	if len(parts) != len(m.Parts) {
		return nil, refused(tablePart, "%d parts were given for the %d of the manifest", len(parts), len(m.Parts))
	}
	size := 0
	wrong := &Error{}
	for i, data := range parts {
		size += len(data)
		if Digest(sha256.Sum256(data)) != m.Parts[i].Digest() {
			wrong.Problems = append(wrong.Problems, Problem{Line: 1, Key: m.Parts[i].Key,
				Reason: "the part's bytes are not those whose digest the manifest lists"})
		}
	}
	if len(wrong.Problems) > 0 {
		return nil, wrong
	}
	if size > MaxFileBytes {
		return nil, refused("", "the file has %d bytes, over the limit of %d", size, MaxFileBytes)
	}
	f, err := Parse(bytes.Join(parts, nil))
	if err != nil {
		return nil, err
	}
	if f.Revision != m.Revision {
		return nil, refused("revision", "the file's revision is %d and the manifest's %d", f.Revision, m.Revision)
	}
	return f, nil
}

// PartsToFetch returns the parts of next whose bytes are not among those of
// held, each digest once, in the order of next. A nil held has none. What
// travels for a change is then the parts that it touched.
func PartsToFetch(held, next *Manifest) []Part {
	have := make(map[Digest]bool)
	if held != nil {
		for _, p := range held.Parts {
			have[p.Digest()] = true
		}
	}
	var fetch []Part
	for _, p := range next.Parts {
		if d := p.Digest(); !have[d] {
			have[d] = true
			fetch = append(fetch, p)
		}
	}
	return fetch
}
