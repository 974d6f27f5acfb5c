package platform

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// maxParts bounds the parts of a manifest.
const maxParts = 1024

// digest is the SHA-256 of a part.
type digest [sha256.Size]byte

// manifest lists the parts that make up a declared file.
type manifest struct {
	Manifest bool           `toml:"manifest"`
	Revision uint64         `toml:"revision"`
	Parts    []manifestPart `toml:"part"`
}

// manifestPart names one part.
type manifestPart struct {
	Key    string `toml:"key"`
	SHA256 string `toml:"sha256"`

	digest digest
}

// isManifest says whether a published value is a manifest. Only the keys
// before the first table are looked at, since a file may be long; a value that
// is no TOML there is a file, for its reader to reject.
func isManifest(value []byte) bool {
	head := value
	if bytes.HasPrefix(value, []byte("[")) {
		return false
	}
	if i := bytes.Index(value, []byte("\n[")); i >= 0 {
		head = value[:i+1]
	}
	var m struct {
		Manifest bool `toml:"manifest"`
	}
	_, err := toml.NewDecoder(bytes.NewReader(head)).Decode(&m)
	return err == nil && m.Manifest
}

// parseManifest reads a manifest strictly.
func parseManifest(value []byte) (*manifest, error) {
	var m manifest
	meta, err := toml.NewDecoder(bytes.NewReader(value)).Decode(&m)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, errors.Newf("unknown key %q", unknown[0].String())
	}
	if len(m.Parts) == 0 || len(m.Parts) > maxParts {
		return nil, errors.Newf("%d parts, must be 1 to %d", len(m.Parts), maxParts)
	}
	for i := range m.Parts {
		if err := m.Parts[i].parse(); err != nil {
			return nil, errors.Wrapf(err, "part %d", i+1)
		}
	}
	return &m, nil
}

func (p *manifestPart) parse() error {
	if p.Key == "" || p.Key == FileKey {
		return errors.Newf("key %q", p.Key)
	}
	sum, err := hex.DecodeString(p.SHA256)
	if err != nil || len(sum) != sha256.Size {
		return errors.Newf("sha256 %q is no digest", p.SHA256)
	}
	p.digest = digest(sum)
	return nil
}
