package declared

import "math"

func (v *validator) checkOrganisations() {
	organisations := v.file.Organisations
	v.names(tableOrganisation, len(organisations), func(i int) string { return organisations[i].Name })
	keys := make(map[Digest]int, len(organisations))
	shares := make(map[string]*tierShares, len(v.tiers))
	spend := int64(0)
	for i := range organisations {
		o, r := &organisations[i], row{tableOrganisation, i}
		v.keyDigests(r, o, keys)
		v.organisationTiers(r, o, shares)
		spend = v.spend(r, o, spend)
	}
	v.organisationShares(shares)
}

// keyDigests checks the digests of one organisation's keys. It names no
// digest whole: a file may be wrong in that it holds a key itself.
func (v *validator) keyDigests(r row, o *Organisation, keys map[Digest]int) {
	at := r.key("key_sha256")
	for n, text := range o.KeySHA256 {
		d, ok := parseDigest(text)
		if !ok {
			v.report.Add(at, "entry %d is not a SHA-256 digest of 64 hexadecimal digits", n+1)
			continue
		}
		earlier, taken := keys[d]
		switch {
		case taken && earlier == r.index:
			v.report.Add(at, "entry %d is listed twice", n+1)
		case taken:
			v.report.Add(at, "entry %d is also a key of organisation %q on line %d", n+1,
				v.file.Organisations[earlier].Name, v.report.Line(row{tableOrganisation, earlier}.key("key_sha256")))
		default:
			keys[d] = r.index
		}
	}
}

// tierShares sums the shares of organisations in one tier.
type tierShares struct {
	percent int
	// over is the index of the organisation with which the sum passed 100.
	over int
}

func (v *validator) organisationTiers(r row, o *Organisation, shares map[string]*tierShares) {
	if len(o.Tiers) == 0 {
		v.report.Add(r.key("tiers"), "is missing; an organisation is allowed one tier at least")
	}
	// Only problems depend on the order of the tiers, so that a file without
	// them pays for no sorting.
	wrong := false
	for name, percent := range o.Tiers {
		_, known := v.tiers[name]
		wrong = wrong || !known || percent < 0 || percent > wholePercent
		sumShares(shares, r.index, name, percent)
	}
	if wrong {
		v.wrongTiers(r, o)
	}
	if _, ok := o.Tiers[o.DefaultTier]; !ok && len(o.Tiers) > 0 {
		v.defaultTier(r, o)
	}
}

func sumShares(shares map[string]*tierShares, index int, name string, percent int) {
	if percent < 0 || percent > wholePercent {
		return
	}
	s := shares[name]
	if s == nil {
		s = &tierShares{}
		shares[name] = s
	}
	if s.percent <= wholePercent && s.percent+percent > wholePercent {
		s.over = index
	}
	s.percent += percent
}

func (v *validator) wrongTiers(r row, o *Organisation) {
	for _, name := range sortedKeys(o.Tiers) {
		at := r.key("tiers." + name)
		if _, known := v.tiers[name]; !known {
			v.unknown(at, "tier", name)
		}
		v.within(at, int64(o.Tiers[name]), 0, wholePercent)
	}
}

func (v *validator) defaultTier(r row, o *Organisation) {
	at := r.key("default_tier")
	if o.DefaultTier == "" {
		v.report.Add(at, "is missing")
		return
	}
	v.report.Add(at, "%q is not among the organisation's tiers", o.DefaultTier)
}

func (v *validator) organisationShares(shares map[string]*tierShares) {
	for _, name := range sortedKeys(shares) {
		if s := shares[name]; s.percent > wholePercent {
			v.report.Add(row{tableOrganisation, s.over}.key("tiers."+name),
				"the organisations' shares of tier %q come to %d %%, over 100 %% from this one on", name, s.percent)
		}
	}
}

// spend checks one organisation's spend and returns the sum of all so far.
func (v *validator) spend(r row, o *Organisation, sum int64) int64 {
	at := r.key("spend_micros_per_month")
	if !v.within(at, o.SpendMicrosPerMonth, 0, maxSpendMicros) || sum == math.MaxInt64 {
		return sum
	}
	sum = saturatingSum(sum, o.SpendMicrosPerMonth)
	if sum == math.MaxInt64 {
		v.report.Add(at, "the organisations' spend is too large to count with this one")
	}
	return sum
}
