package crash

import (
	"os"
	"testing"

	"github.com/balsamstair/balsamstair/internal/rapidseed"
)

func TestMain(m *testing.M) {
	rapidseed.Fix("")
	os.Exit(m.Run())
}
