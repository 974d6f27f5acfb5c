//go:build !guardsoff

package main

import "github.com/balsamstair/balsamstair/internal/reducer"

// guards returns the guards that are off: none in the product.
func guards() reducer.Guards { return reducer.Guards{} }
