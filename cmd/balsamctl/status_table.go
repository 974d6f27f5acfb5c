package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"unicode"

	"github.com/balsamstair/balsamstair/internal/reducer"
)

// shownDigits is how much of a digest a table shows.
const shownDigits = 12

// printStatus prints the tables. Of an endpoint that several instances tell
// of, its owner's view is shown.
func printStatus(w io.Writer, answers []answer) {
	printInstances(w, answers)
	printEndpoints(w, answers)
	printPools(w, answers)
}

// table prints rows under a heading, if there are any.
func table(w io.Writer, heading string, rows []string) {
	if len(rows) == 0 {
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, heading)
	for _, row := range rows {
		fmt.Fprintln(t, row)
	}
	t.Flush()
	fmt.Fprintln(w)
}

func row(cells ...any) string {
	text := make([]string, len(cells))
	for i, c := range cells {
		text[i] = clean(fmt.Sprint(c))
	}
	return strings.Join(text, "\t")
}

// clean keeps what an instance sent from steering the terminal or the table.
func clean(s string) string {
	if strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(s)
	}
	return s
}

func printInstances(w io.Writer, answers []answer) {
	var rows []string
	for _, a := range answers {
		s := a.Status
		if s == nil {
			rows = append(rows, row("?", "?", "unreachable", "", "", "", "", "", "", a.Address))
			continue
		}
		rows = append(rows, row(s.Instance, s.AvailabilityZone, readiness(s), s.Revision, fmt.Sprintf("%.*s", shownDigits, s.Digest),
			s.Held, s.Waiting, alive(s), s.Suspects, a.Address))
	}
	table(w, "INSTANCE\tZONE\tSTATE\tREVISION\tDIGEST\tHELD\tWAITING\tPEERS\tSUSPECTS\tADDRESS", rows)
}

func readiness(s *reducer.Status) string {
	switch {
	case s.Stopping:
		return "stopping"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

// alive returns how many of the known peers are heard from.
func alive(s *reducer.Status) string {
	n := 0
	for _, p := range s.Peers {
		if p.Health == healthy {
			n++
		}
	}
	return fmt.Sprintf("%d/%d", n, len(s.Peers))
}

// view is what one instance tells of one endpoint.
type view struct {
	zone, instance string
	reducer.EndpointStatus
}

func printEndpoints(w io.Writer, answers []answer) {
	best := map[zoned]view{}
	for _, a := range answers {
		if a.Status == nil {
			continue
		}
		for _, e := range a.Status.Endpoints {
			key := zoned{a.Status.AvailabilityZone, e.Name}
			if old, seen := best[key]; !seen || e.Owned && !old.Owned {
				best[key] = view{a.Status.AvailabilityZone, a.Status.Instance, e}
			}
		}
	}
	var rows []string
	for _, v := range sorted(best) {
		owner, granted := "?", "?"
		if v.Owned {
			owner, granted = v.instance, strconv.Itoa(v.Granted)
		}
		rows = append(rows, row(v.Name, v.zone, v.Class, owner, granted, v.Slots, fmt.Sprintf("%.2f", v.Speed), condition(v.EndpointStatus)))
	}
	table(w, "ENDPOINT\tZONE\tCLASS\tOWNER\tGRANTED\tSLOTS\tSPEED\tSTATE", rows)
}

func sorted(views map[zoned]view) []view {
	out := make([]view, 0, len(views))
	for _, v := range views {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b view) int {
		return cmp.Or(strings.Compare(a.zone, b.zone), strings.Compare(a.Name, b.Name))
	})
	return out
}

func condition(e reducer.EndpointStatus) string {
	switch {
	case e.Leaving:
		return "leaving"
	case !e.Available:
		return "not available"
	case e.Straggler:
		return "straggler"
	default:
		return "available"
	}
}

func printPools(w io.Writer, answers []answer) {
	var rows []string
	for _, a := range answers {
		if a.Status == nil {
			continue
		}
		for _, p := range a.Status.Pools {
			closed := "-"
			if p.ClosedFrom > 0 {
				closed = strconv.Itoa(p.ClosedFrom)
			}
			rows = append(rows, row(p.Name, a.Status.AvailabilityZone, a.Status.Instance, p.FreeSlots, fmt.Sprint(p.Waiting), closed))
		}
	}
	slices.Sort(rows)
	table(w, "POOL\tZONE\tOWNER\tFREE SLOTS\tWAITING BY RANK\tCLOSED FROM RANK", rows)
}
