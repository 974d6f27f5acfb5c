package main

import (
	"os"
	"path/filepath"

	"github.com/balsamstair/balsamstair/internal/declared"
)

// loadParts assembles the file whose manifest is data, from files of the
// directory of path that are named as the parts' keys.
func loadParts(path string, data []byte) (*declared.File, error) {
	m, err := declared.ParseManifest(data)
	if err != nil {
		return nil, err
	}
	parts := make([][]byte, len(m.Parts))
	for i, p := range m.Parts {
		if parts[i], err = os.ReadFile(filepath.Join(filepath.Dir(path), p.Key)); err != nil {
			return nil, err
		}
	}
	return declared.Assemble(m, parts)
}
