package declared

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// splitWithManifest splits data into parts of size bytes and returns them with
// their manifest.
func splitWithManifest(t *testing.T, data []byte, size int) (*Manifest, [][]byte) {
	t.Helper()
	var parts [][]byte
	var b strings.Builder
	b.WriteString("manifest = true\nrevision = 1\n")
	for start := 0; start < len(data); start += size {
		part := data[start:min(start+size, len(data))]
		parts = append(parts, part)
		fmt.Fprintf(&b, "[[part]]\nkey = \"part-%d\"\nsha256 = \"%x\"\n", len(parts), sha256.Sum256(part))
	}
	must.True(t, IsManifest([]byte(b.String())))
	m, err := ParseManifest([]byte(b.String()))
	must.NoError(t, err)
	return m, parts
}

func TestAssembleReturnsSplitFile(t *testing.T) {
	data := readExample(t, "kalahari")
	m, parts := splitWithManifest(t, data, 1000)
	must.Greater(t, 5, len(parts))
	f, err := Assemble(m, parts)
	must.NoError(t, err)
	whole, err := Parse(data)
	must.NoError(t, err)
	must.Eq(t, whole.Digest(), f.Digest())
	must.Len(t, 0, Diff(whole, f))
	must.False(t, IsManifest(data))
}

func TestIsManifestReadsTopLevelKeysOnly(t *testing.T) {
	must.True(t, IsManifest([]byte("# [made by a tool]\n manifest=true\n[[part]]\n")))
	must.False(t, IsManifest([]byte("# manifest = true\n[[tier]]\nmanifest = true\n")))
	must.False(t, IsManifest(nil))
}

func TestAssembleRejectsWrongParts(t *testing.T) {
	data := readExample(t, "kalahari")
	m, parts := splitWithManifest(t, data, 1000)
	changed := append([]byte("#"), parts[2]...)
	for name, set := range map[string][][]byte{
		"missing": parts[:len(parts)-1],
		"surplus": append(append([][]byte{}, parts...), parts[0]),
		"changed": append(append(append([][]byte{}, parts[:2]...), changed), parts[3:]...),
		"swapped": append([][]byte{parts[1], parts[0]}, parts[2:]...),
	} {
		f, err := Assemble(m, set)
		must.Error(t, err, must.Sprint(name))
		must.Nil(t, f)
	}
	_, err := Assemble(m, append(append(append([][]byte{}, parts[:2]...), changed), parts[3:]...))
	must.Eq(t, []Problem{{Line: 1, Key: "part-3", Reason: "the part's bytes are not those whose digest the manifest lists"}}, problemsOf(t, err))
	m.Revision = 2
	_, err = Assemble(m, parts)
	must.ErrorContains(t, err, "the file's revision is 1 and the manifest's 2")
}

func TestParseManifestReportsAllProblems(t *testing.T) {
	_, err := ParseManifest([]byte("manifest = false\nrevison = 1\n[[part]]\nkey = \"../a\"\nsha256 = \"00\"\n[[part]]\nkey = \"b\"\nsha256 = \"" +
		strings.Repeat("00", 32) + "\"\n[[part]]\nkey = \"b\"\nsha256 = \"" + strings.Repeat("00", 32) + "\"\n"))
	var lines []string
	for _, p := range problemsOf(t, err) {
		lines = append(lines, p.String())
	}
	must.Eq(t, []string{
		"line 1: manifest: must be true",
		"line 1: revision: is missing; revisions count from 1",
		"line 2: revison: unknown key; known are manifest, part, revision",
		`line 4: part.key: "../a" cannot be the key of a part`,
		"line 5: part.sha256: is not a SHA-256 digest of 64 hexadecimal digits",
		`line 10: part.key: "b" is listed twice, first on line 7`,
	}, lines)
	_, err = ParseManifest([]byte("manifest = true\nrevision = 1\n"))
	must.ErrorContains(t, err, "lists 0 parts")
}

func TestPartsToFetchReturnsChangedParts(t *testing.T) {
	data := readExample(t, "piedmont")
	held, parts := splitWithManifest(t, data, 1000)
	must.Eq(t, held.Parts, PartsToFetch(nil, held))
	must.Len(t, 0, PartsToFetch(held, held))
	next := *held
	next.Parts = append([]Part{}, held.Parts...)
	next.Parts[1].SHA256 = fmt.Sprintf("%x", sha256.Sum256(append(parts[1], '#')))
	// Bytes that are already present under another key are not fetched.
	next.Parts[2].Key = "renamed"
	must.Eq(t, []Part{next.Parts[1]}, PartsToFetch(held, &next))
}

// splitParts splits data and returns the manifest, the bytes of the parts and
// the size of the manifest in bytes.
func splitParts(t testing.TB, data string, partBytes int) (*Manifest, [][]byte, int) {
	t.Helper()
	values, err := Split([]byte(data), partBytes)
	must.NoError(t, err)
	last := values[len(values)-1]
	must.Eq(t, Key, last.Key)
	m, err := ParseManifest(last.Data)
	must.NoError(t, err)
	var parts [][]byte
	for i, v := range values[:len(values)-1] {
		must.Eq(t, m.Parts[i].Key, v.Key)
		parts = append(parts, v.Data)
	}
	return m, parts, len(last.Data)
}

func TestAssembleSplitParts(t *testing.T) {
	for _, name := range []string{"piedmont", "kalahari"} {
		data := readExample(t, name)
		m, parts, _ := splitParts(t, string(data), 1024)
		must.Greater(t, 2, len(parts))
		f, err := Assemble(m, parts)
		must.NoError(t, err)
		must.Eq(t, parseExample(t, name).Digest(), f.Digest())
	}
	_, err := Split(readExample(t, "piedmont"), 1)
	must.ErrorContains(t, err, "are not between")
}

// Altering, adding or removing one of 4,900 organisations and increasing the
// revision must transfer only a few parts.
func TestChangeOfLargeFileAltersFewParts(t *testing.T) {
	// At this part size, a change transfers the fewest bytes.
	const partBytes = 10 << 10
	data := organisationsFile(4900)
	held, _, _ := splitParts(t, data, partBytes)
	must.Between(t, 50, len(held.Parts), 200)
	raised := strings.Replace(data, "revision = 4900", "revision = 4901", 1)
	header := "[[organisation]]\nname = \"organisation-2450\"\n"
	at := strings.Index(raised, header)
	end := at + strings.Index(raised[at+2:], "[[") + 2
	for name, next := range map[string]string{
		"altered": raised[:at] + strings.Replace(raised[at:], "t1 = 0", "t2 = 0", 1),
		"removed": raised[:at] + raised[end:],
		"added":   raised[:at] + "[[organisation]]\nname = \"another\"\ntiers = { t1 = 0 }\ndefault_tier = \"t1\"\n" + raised[at:],
	} {
		m, parts, manifestBytes := splitParts(t, next, partBytes)
		bytesOf := make(map[string]int)
		for i, p := range m.Parts {
			bytesOf[p.Key] = len(parts[i])
		}
		transferBytes := manifestBytes
		fetch := PartsToFetch(held, m)
		for _, p := range fetch {
			transferBytes += bytesOf[p.Key]
		}
		t.Logf("%s: %d of %d parts, %d bytes with the manifest", name, len(fetch), len(m.Parts), transferBytes)
		// The part with the revision, the part with the change, and possibly an
		// adjacent part.
		must.Between(t, 2, len(fetch), 3)
		must.Less(t, 64<<10, transferBytes)
	}
}
