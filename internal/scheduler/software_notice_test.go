package scheduler

import (
	"fmt"
	"testing"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/origin"
	"github.com/shoenig/test/must"
)

// Guards against streams whose origin nobody knows once their instance is killed before
// its own read of the platform shows the version that another instance has read.
func TestAnnouncedSoftwareLetsOthersKeepOrigins(t *testing.T) {
	i := newVersionedInstance(t, 9, "v1")
	i.reportFor(nil)
	id := i.begin()
	i.advanceInContact(TickInterval)
	for _, r := range i.reports {
		must.SliceEmpty(t, r.Report.Origins)
	}
	i.reports = nil
	i.reportFor(func(r *Report) {
		r.Partial, r.FurtherSoftware = true, []ServiceSoftware{{service, origin.SoftwareOf(service, "v2")}}
	})
	i.step(Tick{})
	kept := map[origin.Attempt]origin.Software{}
	for _, r := range i.reports {
		for _, o := range r.Report.Origins {
			kept[o.Attempt] = o.Software
		}
	}
	must.Eq(t, map[origin.Attempt]origin.Software{origin.AttemptOf("", fmt.Sprint(id)): origin.SoftwareOf(service, "v1")}, kept)
}

// Guards against a second version that is announced by those that read through others,
// never, or for ever.
func TestReadersAnnounceFurtherSoftware(t *testing.T) {
	i := newVersionedInstance(t, 9, "v1")
	i.reportFor(nil)
	announced := func(u directory.Update) []ServiceSoftware {
		i.reports = nil
		i.readDirectory(u)
		var out []ServiceSoftware
		for _, r := range i.reports {
			out = append(out, r.Report.FurtherSoftware...)
		}
		return out
	}
	listed := func(n int, version string) directory.Update {
		return directory.Update{Batch: directory.Batch{Revision: 3, Changes: []directory.Change{versionedEngine(n, 4, version)}}}
	}
	must.SliceEmpty(t, announced(listed(1, "v1")))
	must.Eq(t, []ServiceSoftware{{service, origin.SoftwareOf(service, "v2")}}, announced(listed(2, "v2")))
	must.SliceEmpty(t, announced(listed(3, "v2")))
	relayed := listed(4, "v3")
	relayed.From = otherAddr
	must.SliceEmpty(t, announced(relayed))
	must.Len(t, 2, i.s.report().FurtherSoftware)
	i.advance(softwareNoticeRetention + 2*TickInterval)
	must.SliceEmpty(t, i.s.report().FurtherSoftware)
}
