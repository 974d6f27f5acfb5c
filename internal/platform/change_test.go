package platform

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/standin"
)

// changesPerDay and secondsPerDay convert the cost per change to a rate.
const (
	changesPerDay = 4900
	secondsPerDay = 24 * 60 * 60
	// The slope is computed between these two numbers of organisations.
	baseOrganisations   = 490
	targetOrganisations = 4900
)

// organisation returns the declared file's entry for one organisation.
func organisation(i, spend int) []byte {
	return fmt.Appendf(nil, "[[organisation]]\nname = \"organisation-%04d\"\nkey_sha256 = [\"%x\"]\n"+
		"tiers = { bulk = 1 }\ndefault_tier = \"bulk\"\nspend_micros_per_month = %d\n\n",
		i, sha256.Sum256(fmt.Append(nil, i)), spend)
}

// publication is a declared file, either whole or as a manifest with parts.
type publication struct {
	manifest []byte
	parts    [][]byte
}

// newPublication returns a file with one organisation per spend limit, split
// into parts with equal numbers of organisations. If parts is zero, the file is
// not split.
func newPublication(spends []int, parts, revision int) publication {
	var p publication
	head := fmt.Appendf(nil, "revision = %d\n", revision)
	blocks := make([]bytes.Buffer, max(1, parts))
	for i, spend := range spends {
		blocks[i*len(blocks)/len(spends)].Write(organisation(i, spend))
	}
	if parts == 0 {
		p.manifest = append(head, blocks[0].Bytes()...)
		return p
	}
	p.manifest = append([]byte("manifest = true\n"), head...)
	for i := range blocks {
		part := blocks[i].Bytes()
		p.parts = append(p.parts, part)
		p.manifest = fmt.Appendf(p.manifest, "[[part]]\nkey = \"organisations-%03d\"\nsha256 = \"%x\"\n", i, sha256.Sum256(part))
	}
	return p
}

func (p publication) publish(to *standin.Platform) {
	for i, part := range p.parts {
		to.PublishValue(fmt.Sprintf("organisations-%03d", i), part)
	}
	to.PublishValue(declared.Key, p.manifest)
}

// BenchmarkChange measures the bytes and calls that one client needs to receive
// a change of one organisation.
func BenchmarkChange(b *testing.B) {
	for _, layout := range []struct {
		name  string
		parts func(organisations int) int
	}{
		{"whole", func(int) int { return 0 }},
		{"parts=16", func(organisations int) int { return min(fleetParts, organisations) }},
		{"least", optimalPartCount},
	} {
		cost := make(map[int]float64)
		for _, organisations := range []int{5, baseOrganisations, 1633, targetOrganisations} {
			b.Run(fmt.Sprintf("%s/organisations=%d", layout.name, organisations), func(b *testing.B) {
				cost[organisations] = measureChange(b, organisations, layout.parts(organisations))
				if organisations == targetOrganisations {
					reportSlope(b, cost)
				}
			})
		}
	}
}

// reportSlope reports the bytes that each additional organisation adds to a
// change, and the data rate at the target number of organisations.
func reportSlope(b *testing.B, cost map[int]float64) {
	added := cost[targetOrganisations] - cost[baseOrganisations]
	b.ReportMetric(added/(targetOrganisations-baseOrganisations), "bytes/change/organisation")
	b.ReportMetric(cost[targetOrganisations]*changesPerDay/secondsPerDay, "bytes/s-at-4900-changes/day")
}

// optimalPartCount returns the number of parts that minimises the size of the
// manifest plus one changed part: the square root of the file size divided by
// the size of a manifest entry.
func optimalPartCount(organisations int) int {
	const organisationBytes, entryBytes = 210, 115
	parts := 1
	for parts*parts*entryBytes < organisations*organisationBytes {
		parts++
	}
	return min(parts, organisations)
}

// measureChange returns the bytes of values that a client receives per change.
func measureChange(b *testing.B, organisations, parts int) float64 {
	platform := standin.NewPlatform()
	server := httptest.NewServer(platform)
	defer server.Close()
	client, err := New(Options{Address: server.Listener.Addr().String(), MinInterval: 1, Seed: 1})
	must.NoError(b, err)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	spends := make([]int, organisations)
	for i := range spends {
		spends[i] = 1_000_000_000
	}
	initial := newPublication(spends, parts, 1)
	must.LessEq(b, declared.MaxValueBytes, len(initial.manifest), must.Sprint("the platform holds no such value"))
	initial.publish(platform)
	files := make(chan DeclaredFile)
	go func() { _ = client.WatchFile(ctx, func(f DeclaredFile) { files <- f }) }()
	first := <-files
	before, callsBefore := client.Stats(), platform.Calls().Total
	b.ResetTimer()
	for n := 1; n <= b.N; n++ {
		b.StopTimer()
		spends[n*7919%organisations]++
		p := newPublication(spends, parts, n+1)
		b.StartTimer()
		p.publish(platform)
		must.True(b, bytes.Equal(p.manifest, (<-files).Manifest))
	}
	b.StopTimer()
	after := client.Stats()
	perChange := float64(after.Bytes-before.Bytes) / float64(b.N)
	fileBytes := len(first.Manifest)
	for _, part := range first.Parts {
		fileBytes += len(part)
	}
	b.ReportMetric(float64(fileBytes), "file-bytes")
	b.ReportMetric(perChange, "bytes/change")
	b.ReportMetric(float64(platform.Calls().Total-callsBefore)/float64(b.N), "calls/change")
	return perChange
}
