package main

import (
	"github.com/balsamstair/balsamstair/internal/operator"
	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// counterDefinitions declares the counters with a fixed label set, so that
// each reason is exported from the start.
func counterDefinitions() []operator.CounterDefinition {
	var refusalReasons, retryReasons, wasteReasons []string
	for _, r := range refusal.All() {
		refusalReasons = append(refusalReasons, string(r))
	}
	for _, r := range reducer.RetryReasons() {
		retryReasons = append(retryReasons, string(r))
	}
	for _, r := range reducer.WasteReasons() {
		wasteReasons = append(wasteReasons, string(r))
	}
	return []operator.CounterDefinition{
		{Name: string(reducer.CounterRefusals), Labels: refusalReasons},
		{Name: string(reducer.CounterRetries), Labels: retryReasons},
		{Name: string(reducer.CounterWastedPrefill), Labels: wasteReasons},
	}
}
