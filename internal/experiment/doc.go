// Package experiment measures the placement and admission policy: it drives
// the real reducer in virtual time, one availability zone at a time, over
// small fakes of engines and callers. All randomness is seeded, so that one
// seed has one outcome.
package experiment
