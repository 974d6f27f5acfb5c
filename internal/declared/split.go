package declared

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// DefaultPartBytes is the mean size of parts. Parts of a tenth of it would make
// the fewest bytes travel when one of 4,900 organisations changes; but then a
// change of all parts would not reach 360 readers of a platform that answers
// 2,000 reads a second within 5 s (docs/CAPACITY.md).
const DefaultPartBytes = 64 << 10

const (
	minPartBytes = 1 << 10
	maxPartBytes = MaxValueBytes / 4

	// tableBytes is the usual size of one table of a file.
	tableBytes = 200
	// A part is at least 1/partSpread and at most partSpread of the mean.
	partSpread = 2
)

// Value is one value to publish.
type Value struct {
	Key  string
	Data []byte
}

// Split returns a valid file as the values to publish, each part before the
// manifest, which comes last under Key: whoever reads the manifest then finds
// the parts. Keys of parts are made of their digests, so that no part is ever
// published over another. Where the parts end depends on the tables next to
// the cut alone, so that a change leaves all parts but one or two as they
// were. partBytes is the mean size of parts.
func Split(data []byte, partBytes int) ([]Value, error) {
	if partBytes < minPartBytes || partBytes > maxPartBytes {
		return nil, refused("", "parts of %d bytes are not between %d and %d", partBytes, minPartBytes, maxPartBytes)
	}
	f, err := Parse(data)
	if err != nil {
		return nil, err
	}
	parts := cut(data, partBytes)
	if len(parts) > maxParts {
		return nil, refused("", "the file makes %d parts, over the limit of %d", len(parts), maxParts)
	}
	return publish(f.Revision, parts), nil
}

// publish names the parts and writes their manifest. No two parts of a valid
// file are equal, since names are not given twice.
func publish(revision uint64, parts [][]byte) []Value {
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

// cut divides data before headers of arrays of tables. What stands before the
// first of them holds the revision, which every change raises, and is a part
// of its own.
func cut(data []byte, partBytes int) [][]byte {
	var parts [][]byte
	start := 0
	for at := nextHeader(data, 0); at < len(data); at = nextHeader(data, at+1) {
		size := at - start
		if start == 0 || size >= partBytes*partSpread || size >= partBytes/partSpread && isBoundary(data[at:], partBytes) {
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

// isBoundary draws by the header and the line below it, which holds the name,
// whether a part begins here.
func isBoundary(table []byte, partBytes int) bool {
	lines := bytes.SplitN(table, []byte("\n"), 3)
	h := xxhash.New()
	for _, line := range lines[:min(2, len(lines))] {
		h.Write(line)
	}
	return h.Sum64()%uint64(max(partBytes/partSpread/tableBytes, 1)) == 0
}
