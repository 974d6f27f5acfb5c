package declared

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestNewerIsATotalOrder(t *testing.T) {
	low := &File{Revision: 1, digest: Digest{9}}
	high := &File{Revision: 2, digest: Digest{1}}
	sameRevision := &File{Revision: 2, digest: Digest{2}}
	must.True(t, low.Newer(nil))
	must.True(t, high.Newer(low))
	must.False(t, low.Newer(high))
	must.True(t, sameRevision.Newer(high))
	must.False(t, high.Newer(high))
}
