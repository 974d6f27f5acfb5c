// Package rapidseed makes property-based tests deterministic.
package rapidseed

import "flag"

// Fix parses the test's flags and sets the flags of rapid that are absent from
// the command line: the seed to 1, no failure files and, if checks is not empty,
// the number of checks. It panics if rapid does not have these flags.
func Fix(checks string) {
	flag.Parse()
	values := map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"}
	if checks != "" {
		values["rapid.checks"] = checks
	}
	flag.Visit(func(f *flag.Flag) { delete(values, f.Name) })
	for name, value := range values {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
