package main

import (
	"os"
	"path/filepath"

	"github.com/balsamstair/balsamstair/internal/declared"
)

// readManifest assembles a declared file from the manifest in data. The parts
// are files in the directory of path, named by their keys.
func readManifest(path string, data []byte) (*declared.File, error) {
	manifest, err := declared.ParseManifest(data)
	if err != nil {
		return nil, err
	}
	parts := make([][]byte, len(manifest.Parts))
	for i, p := range manifest.Parts {
		if parts[i], err = os.ReadFile(filepath.Join(filepath.Dir(path), p.Key)); err != nil {
			return nil, err
		}
	}
	return declared.Assemble(manifest, parts)
}
