package declared

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// DefaultPartBytes is the default mean size of parts. Parts of a tenth of this
// size would transfer the fewest bytes when one of 4,900 organisations changes.
// But then a change of all parts would not reach 360 readers within 5 s from a
// platform that serves 2,000 reads per second (docs/CAPACITY.md).
const DefaultPartBytes = 64 << 10

const (
	minPartBytes = 1 << 10
	maxPartBytes = MaxValueBytes / 4

	// meanTableBytes is the typical size of one table of a file.
	meanTableBytes = 200
	// partSizeFactor bounds the size of a part: it is between 1/partSizeFactor
	// and partSizeFactor times the mean size.
	partSizeFactor = 2
)

// Value is one value to publish.
type Value struct {
	Key  string
	Data []byte
}

// Split returns the values under which a valid file is published. The parts
// come first and the manifest last, under Key, so that a reader of the manifest
// finds all parts. Keys of parts are derived from their digests, so that a part
// never overwrites another one. The end of a part depends only on the tables
// next to it, so that a change leaves all but one or two parts unchanged.
// partBytes is the mean size of parts.
func Split(data []byte, partBytes int) ([]Value, error) {
	if partBytes < minPartBytes || partBytes > maxPartBytes {
		return nil, documentError("", "parts of %d bytes are not between %d and %d", partBytes, minPartBytes, maxPartBytes)
	}
	f, err := Parse(data)
	if err != nil {
		return nil, err
	}
	parts := splitAtTables(data, partBytes)
	if len(parts) > maxParts {
		return nil, documentError("", "the file makes %d parts, over the limit of %d", len(parts), maxParts)
	}
	return publishedValues(f.Revision, parts), nil
}

// publishedValues returns the parts under their keys, followed by the manifest.
// No two parts of a valid file are equal, since names are unique.
func publishedValues(revision uint64, parts [][]byte) []Value {
	var manifest bytes.Buffer
	fmt.Fprintf(&manifest, "manifest = true\nrevision = %d\n", revision)
	values := make([]Value, 0, len(parts)+1)
	for _, data := range parts {
		digest := sha256.Sum256(data)
		key := fmt.Sprintf("%s-%s", Key, hex.EncodeToString(digest[:8]))
		fmt.Fprintf(&manifest, "\n[[part]]\nkey = %q\nsha256 = \"%x\"\n", key, digest)
		values = append(values, Value{key, data})
	}
	return append(values, Value{Key, manifest.Bytes()})
}

// splitAtTables splits data before headers of arrays of tables. The text before
// the first header is a part of its own, since it holds the revision, which
// every change increases.
func splitAtTables(data []byte, partBytes int) [][]byte {
	var parts [][]byte
	start := 0
	for at := nextHeader(data, 0); at < len(data); at = nextHeader(data, at+1) {
		size := at - start
		if start == 0 || size >= partBytes*partSizeFactor || size >= partBytes/partSizeFactor && isBoundary(data[at:], partBytes) {
			parts = append(parts, data[start:at])
			start = at
		}
	}
	return append(parts, data[start:])
}

// nextHeader returns the offset of the first line at or after from that begins
// with a header of an array of tables, or the length of data.
func nextHeader(data []byte, from int) int {
	i := bytes.Index(data[from:], []byte("\n[["))
	if i < 0 {
		return len(data)
	}
	return from + i + 1
}

// isBoundary reports whether a part begins at table. It depends on a hash of
// the header and the line below it, which holds the name.
func isBoundary(table []byte, partBytes int) bool {
	lines := bytes.SplitN(table, []byte("\n"), 3)
	h := xxhash.New()
	for _, line := range lines[:min(2, len(lines))] {
		h.Write(line)
	}
	return h.Sum64()%uint64(max(partBytes/partSizeFactor/meanTableBytes, 1)) == 0
}
