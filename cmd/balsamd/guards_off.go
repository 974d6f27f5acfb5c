//go:build guardsoff

package main

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/balsamstair/balsamstair/internal/reducer"
)

// guards returns the guards that the environment variable BALSAM_GUARDS_OFF
// disables, a comma-separated list. Only test builds read it, to show what each
// guard prevents.
func guards() reducer.Guards {
	var g reducer.Guards
	for _, name := range strings.Split(os.Getenv("BALSAM_GUARDS_OFF"), ",") {
		if name == "" {
			continue
		}
		field := reflect.ValueOf(&g).Elem().FieldByName(name)
		if !field.IsValid() {
			panic(fmt.Sprintf("BALSAM_GUARDS_OFF: unknown guard %q", name))
		}
		field.SetBool(true)
	}
	return g
}
