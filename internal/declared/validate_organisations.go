package declared

import "math"

func (v *validator) checkOrganisations() {
	organisations := v.file.Organisations
	v.checkNames(tableOrganisation, len(organisations), func(i int) string { return organisations[i].Name })
	keys := make(map[Digest]int, len(organisations))
	shares := make(map[string]*shareSum, len(v.tiers))
	spend := int64(0)
	for i := range organisations {
		o, r := &organisations[i], element{tableOrganisation, i}
		v.checkKeyDigests(r, o, keys)
		v.checkOrganisationTiers(r, o, shares)
		spend = v.checkSpend(r, o, spend)
	}
	v.checkShareSums(shares)
}

// checkKeyDigests checks the digests of one organisation's keys. Problems never
// quote an entry, since an invalid entry may be the key itself in place of its
// digest.
func (v *validator) checkKeyDigests(r element, o *Organisation, keys map[Digest]int) {
	at := r.key("key_sha256")
	for n, text := range o.KeySHA256 {
		d, ok := parseDigest(text)
		if !ok {
			v.report.Add(at, "entry %d is not a SHA-256 digest of 64 hexadecimal digits", n+1)
			continue
		}
		earlier, duplicate := keys[d]
		switch {
		case duplicate && earlier == r.index:
			v.report.Add(at, "entry %d is listed twice", n+1)
		case duplicate:
			v.report.Add(at, "entry %d is also a key of organisation %q on line %d", n+1,
				v.file.Organisations[earlier].Name, v.report.Line(element{tableOrganisation, earlier}.key("key_sha256")))
		default:
			keys[d] = r.index
		}
	}
}

// shareSum is the sum of the organisations' shares of one tier.
type shareSum struct {
	percent int
	// exceededAt is the index of the organisation with which the sum exceeded
	// 100.
	exceededAt int
}

func (v *validator) checkOrganisationTiers(r element, o *Organisation, shares map[string]*shareSum) {
	if len(o.Tiers) == 0 {
		v.report.Add(r.key("tiers"), "is missing; an organisation is allowed one tier at least")
	}
	// The order of the tiers matters only for problems, so a file without
	// problems avoids the sorting.
	invalid := false
	for name, percent := range o.Tiers {
		_, known := v.tiers[name]
		invalid = invalid || !known || percent < 0 || percent > maxPercent
		addShare(shares, r.index, name, percent)
	}
	if invalid {
		v.reportInvalidTiers(r, o)
	}
	if _, ok := o.Tiers[o.DefaultTier]; !ok && len(o.Tiers) > 0 {
		v.reportDefaultTier(r, o)
	}
}

func addShare(shares map[string]*shareSum, index int, name string, percent int) {
	if percent < 0 || percent > maxPercent {
		return
	}
	s := shares[name]
	if s == nil {
		s = &shareSum{}
		shares[name] = s
	}
	if s.percent <= maxPercent && s.percent+percent > maxPercent {
		s.exceededAt = index
	}
	s.percent += percent
}

func (v *validator) reportInvalidTiers(r element, o *Organisation) {
	for _, name := range sortedKeys(o.Tiers) {
		at := r.key("tiers." + name)
		if _, known := v.tiers[name]; !known {
			v.reportUnknownName(at, "tier", name)
		}
		v.checkRange(at, int64(o.Tiers[name]), 0, maxPercent)
	}
}

func (v *validator) reportDefaultTier(r element, o *Organisation) {
	at := r.key("default_tier")
	if o.DefaultTier == "" {
		v.report.Add(at, "is missing")
		return
	}
	v.report.Add(at, "%q is not among the organisation's tiers", o.DefaultTier)
}

func (v *validator) checkShareSums(shares map[string]*shareSum) {
	for _, name := range sortedKeys(shares) {
		if s := shares[name]; s.percent > maxPercent {
			v.report.Add(element{tableOrganisation, s.exceededAt}.key("tiers."+name),
				"the organisations' shares of tier %q come to %d %%, over 100 %% from this one on", name, s.percent)
		}
	}
}

// checkSpend checks one organisation's spend and returns sum with it added.
func (v *validator) checkSpend(r element, o *Organisation, sum int64) int64 {
	at := r.key("spend_micros_per_month")
	if !v.checkRange(at, o.SpendMicrosPerMonth, 0, maxSpendMicros) || sum == math.MaxInt64 {
		return sum
	}
	sum = saturatingSum(sum, o.SpendMicrosPerMonth)
	if sum == math.MaxInt64 {
		v.report.Add(at, "the organisations' spend is too large to count with this one")
	}
	return sum
}
