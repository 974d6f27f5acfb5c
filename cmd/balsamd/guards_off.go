//go:build guardsoff

package main

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/balsamstair/balsamstair/internal/reducer"
)

// guards returns the guards that the variable BALSAM_GUARDS_OFF names,
// separated by commas. Only test builds have it, to show what each guard
// prevents.
func guards() reducer.Guards {
	var g reducer.Guards
	for _, name := range strings.Split(os.Getenv("BALSAM_GUARDS_OFF"), ",") {
		if name == "" {
			continue
		}
		field := reflect.ValueOf(&g).Elem().FieldByName(name)
		if !field.IsValid() {
			panic(fmt.Sprintf("there is no guard %q", name))
		}
		field.SetBool(true)
	}
	return g
}
