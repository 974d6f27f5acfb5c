package e2e

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// Names in the declared file of every site.
const (
	chatPool    = "chat"
	bookingPool = "bookings"
	bookingPath = "/bookings"
)

// tiers lists the tiers by rank.
var tiers = []string{"gold", "silver", "bronze"}

// organisations may use every tier. The key of each is "key-of-" and its name.
var organisations = []string{"weavers", "caners", "menders"}

func rankOf(tier string) int {
	for i, t := range tiers {
		if t == tier {
			return i + 1
		}
	}
	return 0
}

func keyOf(organisation string) string { return "key-of-" + organisation }

// declaration is the content of a site's declared file.
type declaration struct {
	revision uint64
	// variant distinguishes two files of the same revision.
	variant   int
	endpoints []declaredEndpoint
	// spendMicros limits the spend of each organisation per month; zero means
	// no limit.
	spendMicros int64
	// callMicros is the price of a booking.
	callMicros int64
}

type declaredEndpoint struct {
	name, class, zone, address, pool string
	slots                            int
}

// probePath returns a route that only one file declares. A request to it in a
// tier that nobody may use shows whether the file is in force, without running
// anything.
func probePath(revision uint64, variant int) string {
	return fmt.Sprintf("/in-force/%d/%d", revision, variant)
}

func (d declaration) toml() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "revision = %d\ncurrency = \"USD\"\n", d.revision)
	for i, t := range tiers {
		fmt.Fprintf(&b, "[[tier]]\nname = %q\nrank = %d\nshare_percent = 30\ndeadline_ms = 20000\n", t, i+1)
	}
	fmt.Fprintf(&b, classesText, d.callMicros)
	for _, e := range d.endpoints {
		fmt.Fprintf(&b, "[[endpoint]]\nname = %q\nclass = %q\navailability_zone = %q\naddress = %q\nmodels = [%q]\nslots = %d\n",
			e.name, e.class, e.zone, e.address, e.pool, e.slots)
	}
	d.writeRoutes(&b)
	for _, o := range organisations {
		sum := sha256.Sum256([]byte(keyOf(o)))
		fmt.Fprintf(&b, "[[organisation]]\nname = %q\nkey_sha256 = [%q]\ntiers = { gold = 30, silver = 30, bronze = 30 }\ndefault_tier = \"silver\"\nspend_micros_per_month = %d\n",
			o, hex.EncodeToString(sum[:]), d.spendMicros)
	}
	return []byte(b.String())
}

func (d declaration) writeRoutes(b *strings.Builder) {
	fmt.Fprintf(b, "[[route]]\nname = \"book\"\nmethod = \"POST\"\npath = %q\npool = %q\nidempotent = false\ntier = \"gold\"\n", bookingPath, bookingPool)
	fmt.Fprintf(b, "[[route]]\nname = \"probe\"\nmethod = \"GET\"\npath = %q\npool = %q\nidempotent = true\ntier = \"gold\"\n", probePath(d.revision, d.variant), bookingPool)
}

const classesText = `
[[class]]
name = "runner"
kind = "engine"
prefill_tokens_per_second = 8000
decode_tokens_per_second = 200
prefill_micros_per_mtok = 1
cached_micros_per_mtok = 1
generated_micros_per_mtok = 1
[[class]]
name = "booking"
kind = "service"
calls_per_second = 100
call_micros = %d
`
