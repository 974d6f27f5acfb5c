package declared

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// parseEditedExample parses the example after replacing each old text with the
// new one that follows it.
func parseEditedExample(t *testing.T, name string, oldnew ...string) *File {
	t.Helper()
	data := string(readExample(t, name))
	for i := 0; i < len(oldnew); i += 2 {
		must.StrContains(t, data, oldnew[i])
		data = strings.Replace(data, oldnew[i], oldnew[i+1], 1)
	}
	f, err := Parse([]byte(data))
	must.NoError(t, err)
	return f
}

func TestDiffDescribesEachChange(t *testing.T) {
	old := parseExample(t, "piedmont")
	next := parseEditedExample(t, "piedmont",
		"revision = 1", "revision = 2",
		"share_percent = 10", "share_percent = 15",
		"slots = 8\n", "slots = 8\nleaving = true\n",
		`name = "booking-4"`, `name = "booking-5"`,
		"idempotent = false", "idempotent = true",
		"{ answers = 15, histories = 25 }", "{ answers = 10, estimates = 15 }",
		`key_sha256 = ["`, `key_sha256 = ["`+strings.Repeat("ab", 32)+`", "`)
	var descriptions []string
	for _, c := range Diff(old, next) {
		descriptions = append(descriptions, c.String())
	}
	must.Eq(t, []string{
		"file: revision changes from 1 to 2",
		"tier histories: share_percent changes from 10 to 15",
		"endpoint runner-01: leaving changes from false to true",
		"endpoint booking-4 is removed",
		"endpoint booking-5 is added",
		"route book: idempotent changes from false to true",
		"organisation cooperative-desk: key_sha256 changes from " + shortKey(old, "cooperative-desk") +
			" to " + strings.Join([]string{shortKey(old, "cooperative-desk"), "abababababab..."}, ", "),
		"organisation macon-splint-guild: tiers changes from answers 15 %, histories 25 % to answers 10 %, estimates 15 %",
	}, descriptions)
}

func shortKey(f *File, organisation string) string {
	return f.Organisation(organisation).KeySHA256[0][:12] + "..."
}

func TestDiffIgnoresOrder(t *testing.T) {
	a := &File{Endpoints: []Endpoint{{Name: "x", Models: []string{"m", "n"}}, {Name: "y"}}}
	b := &File{Endpoints: []Endpoint{{Name: "y", Models: []string{}}, {Name: "x", Models: []string{"n", "m"}}}}
	must.Len(t, 0, Diff(a, b))
	must.Eq(t, []string{"m", "n"}, a.Endpoints[0].Models)
	must.Eq(t, []string{"n", "m"}, b.Endpoints[1].Models)
}

func TestDiffOfKeysWithEqualPrefix(t *testing.T) {
	first := strings.Repeat("ab", 32)
	second := first[:62] + "cd"
	a := &File{Organisations: []Organisation{{Name: "o", KeySHA256: []string{first}}}}
	b := &File{Organisations: []Organisation{{Name: "o", KeySHA256: []string{second}}}}
	must.Len(t, 1, Diff(a, b))
}
