//go:build !guardsoff

package main

import "github.com/balsamstair/balsamstair/internal/reducer"

// guards returns the guards that are disabled: none in production builds.
func guards() reducer.Guards { return reducer.Guards{} }
