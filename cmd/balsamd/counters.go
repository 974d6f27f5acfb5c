package main

import (
	"github.com/balsamstair/balsamstair/internal/operator"
	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// counterDefinitions declares the counters whose labels are closed lists, so
// that each reason is published from the start.
func counterDefinitions() []operator.Definition {
	var refusals, retries, wastes []string
	for _, r := range refusal.All() {
		refusals = append(refusals, string(r))
	}
	for _, r := range reducer.RetryReasons() {
		retries = append(retries, string(r))
	}
	for _, r := range reducer.WasteReasons() {
		wastes = append(wastes, string(r))
	}
	return []operator.Definition{
		{Name: string(reducer.CounterRefusals), Labels: refusals},
		{Name: string(reducer.CounterRetries), Labels: retries},
		{Name: string(reducer.CounterWastedPrefill), Labels: wastes},
	}
}
