package routing

import (
	"testing"

	"github.com/shoenig/test/must"
)

func testTable() *Table {
	return NewTable(Config{
		Version: 3,
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/x/"},
		},
		Organisations: []Organisation{{Name: "org", Keys: []string{"k1", "k2"}}},
	})
}

func TestRouteMatchesLongestPrefix(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"A.Example:8080", "/x/y/", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"a.example", "/X/1", ""},
		{"a.example", "/q/../x/1", ""},
		{"a.example", "//x/1", ""},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if r := testTable().Route(c.host, c.path); r != nil {
			got = r.Name
		}
		must.Eq(t, c.want, got, must.Sprint(c))
	}
}

func TestOrganisationByKey(t *testing.T) {
	must.Eq(t, "org", testTable().Organisation("k2").Name)
	must.Nil(t, testTable().Organisation("k3"))
	must.Nil(t, testTable().Organisation(""))
}

func TestPickServiceFollowsWeights(t *testing.T) {
	r := Route{Split: []Share{{"one", 90}, {"none", 0}, {"two", 10}}}
	got := map[string]int{}
	for draw := range uint64(1000) {
		got[r.PickService(draw)]++
	}
	must.Eq(t, map[string]int{"one": 900, "two": 100}, got)
	must.Eq(t, "only", (&Route{Split: []Share{{"only", 0}}}).PickService(7))
	must.Eq(t, "", (&Route{}).PickService(7))
}

func TestOnlySafeRequestsAndResumableStreamsAreRepeatable(t *testing.T) {
	must.True(t, (&Route{Kind: Safe}).Retryable())
	must.False(t, (&Route{Kind: Unsafe, Resumable: true}).Retryable())
	must.False(t, (&Route{Kind: Stream}).Retryable())
	must.True(t, (&Route{Kind: Stream, Resumable: true}).Retryable())
}

// Guards against requests without a key that are taken for those of an organisation whose
// list of keys has an empty one.
func TestEmptyKeyIsNoKey(t *testing.T) {
	table := NewTable(Config{Organisations: []Organisation{{Name: "o", Keys: []string{"", "k"}}}})
	must.Nil(t, table.Organisation(""))
	must.Eq(t, "o", table.Organisation("k").Name)
}

// Guards against routes that open since the list of organisations is empty or missing.
func TestKeysAreRequiredByAnEmptyListAndAfterOne(t *testing.T) {
	empty := NewTable(Config{Keys: KeysRequired})
	must.True(t, empty.RequiresKeys())
	must.False(t, empty.OrganisationsMissing())
	must.False(t, empty.RetainKeys().OrganisationsMissing())
	none := NewTable(Config{Version: 3, Keys: KeysNotRequired})
	must.False(t, none.RequiresKeys())
	retained := none.RetainKeys()
	must.True(t, retained.RequiresKeys())
	must.True(t, retained.OrganisationsMissing())
	must.True(t, retained.RetainKeys().RequiresKeys())
	must.Eq(t, 3, retained.Version())
	must.False(t, none.RequiresKeys())
}
