// Package experiment measures the placement and admission policy. It runs the
// real reducer in virtual time, one availability zone at a time, with small
// fakes of engines and callers. All randomness is seeded, so that a seed always
// gives the same outcome.
package experiment
