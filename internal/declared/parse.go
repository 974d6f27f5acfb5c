package declared

import (
	"bytes"
	"crypto/sha256"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Parse returns the file that data declares. Unknown keys are errors. The
// verdict depends on data alone.
func Parse(data []byte) (*File, error) {
	f := &File{}
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(f); err != nil {
		return nil, errors.Wrap(err, "declared file")
	}
	if f.Revision == 0 {
		return nil, errors.New("declared file: revision is missing")
	}
	f.digest = sha256.Sum256(data)
	return f, nil
}
