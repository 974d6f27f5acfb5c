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

// shownDigestDigits is the length of a digest's prefix in a table.
const shownDigestDigits = 12

// printStatus prints the tables. An endpoint that several instances report is
// shown as its owner reports it.
func printStatus(w io.Writer, results []instanceResult) {
	printInstances(w, results)
	printEndpoints(w, results)
	printPools(w, results)
}

// printTable prints rows under a heading, or nothing if there are no rows.
func printTable(w io.Writer, heading string, rows []string) {
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

func formatRow(cells ...any) string {
	text := make([]string, len(cells))
	for i, c := range cells {
		text[i] = quoteUnprintable(fmt.Sprint(c))
	}
	return strings.Join(text, "\t")
}

// quoteUnprintable quotes s if it contains unprintable characters, so that text
// from an instance cannot control the terminal or break the table.
func quoteUnprintable(s string) string {
	if strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(s)
	}
	return s
}

func printInstances(w io.Writer, results []instanceResult) {
	var rows []string
	for _, a := range results {
		s := a.Status
		if s == nil {
			rows = append(rows, formatRow("?", "?", "unreachable", "", "", "", "", "", "", a.Address))
			continue
		}
		rows = append(rows, formatRow(s.Instance, s.AvailabilityZone, instanceState(s), s.Revision, fmt.Sprintf("%.*s", shownDigestDigits, s.Digest),
			s.Held, s.Waiting, alivePeers(s), s.Suspects, a.Address))
	}
	printTable(w, "INSTANCE\tZONE\tSTATE\tREVISION\tDIGEST\tHELD\tWAITING\tPEERS\tSUSPECTS\tADDRESS", rows)
}

func instanceState(s *reducer.Status) string {
	switch {
	case s.Stopping:
		return "stopping"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

// alivePeers returns the number of peers that are alive and of all known peers.
func alivePeers(s *reducer.Status) string {
	n := 0
	for _, p := range s.Peers {
		if p.Health == healthAlive {
			n++
		}
	}
	return fmt.Sprintf("%d/%d", n, len(s.Peers))
}

// endpointView is the status of an endpoint as one instance reports it.
type endpointView struct {
	zone, instance string
	reducer.EndpointStatus
}

func printEndpoints(w io.Writer, results []instanceResult) {
	views := map[endpointKey]endpointView{}
	for _, a := range results {
		if a.Status == nil {
			continue
		}
		for _, e := range a.Status.Endpoints {
			key := endpointKey{a.Status.AvailabilityZone, e.Name}
			if old, seen := views[key]; !seen || e.Owned && !old.Owned {
				views[key] = endpointView{a.Status.AvailabilityZone, a.Status.Instance, e}
			}
		}
	}
	var rows []string
	for _, v := range sortedViews(views) {
		owner, granted := "?", "?"
		if v.Owned {
			owner, granted = v.instance, strconv.Itoa(v.Granted)
		}
		rows = append(rows, formatRow(v.Name, v.zone, v.Class, owner, granted, v.Slots, fmt.Sprintf("%.2f", v.Speed), endpointState(v.EndpointStatus)))
	}
	printTable(w, "ENDPOINT\tZONE\tCLASS\tOWNER\tGRANTED\tSLOTS\tSPEED\tSTATE", rows)
}

func sortedViews(views map[endpointKey]endpointView) []endpointView {
	out := make([]endpointView, 0, len(views))
	for _, v := range views {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b endpointView) int {
		return cmp.Or(strings.Compare(a.zone, b.zone), strings.Compare(a.Name, b.Name))
	})
	return out
}

func endpointState(e reducer.EndpointStatus) string {
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

func printPools(w io.Writer, results []instanceResult) {
	var rows []string
	for _, a := range results {
		if a.Status == nil {
			continue
		}
		for _, p := range a.Status.Pools {
			closed := "-"
			if p.ClosedFrom > 0 {
				closed = strconv.Itoa(p.ClosedFrom)
			}
			rows = append(rows, formatRow(p.Name, a.Status.AvailabilityZone, a.Status.Instance, p.FreeSlots, fmt.Sprint(p.Waiting), closed))
		}
	}
	slices.Sort(rows)
	printTable(w, "POOL\tZONE\tOWNER\tFREE SLOTS\tWAITING BY RANK\tCLOSED FROM RANK", rows)
}
