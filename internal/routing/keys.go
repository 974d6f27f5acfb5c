package routing

// KeyRequirement is what a configuration says about keys: whether requests to routes
// that are not public need one.
type KeyRequirement int

// The requirements.
const (
	// KeysUnstated is that of a configuration passed on by an instance of an earlier
	// release, which does not distinguish an empty list of organisations from none.
	KeysUnstated KeyRequirement = iota
	// KeysNotRequired is that of a configuration without a list of organisations.
	KeysNotRequired
	// KeysRequired is that of a configuration with a list of organisations, even of an
	// empty one.
	KeysRequired
)

// String returns the name of the requirement as logged.
func (k KeyRequirement) String() string {
	switch k {
	case KeysNotRequired:
		return "not_required"
	case KeysRequired:
		return "required"
	default:
		return "unstated"
	}
}

// KeyRequirement returns what the configuration says about keys. Any organisation makes
// them required, whichever release has passed the configuration on.
func (c *Config) KeyRequirement() KeyRequirement {
	if len(c.Organisations) > 0 {
		return KeysRequired
	}
	return c.Keys
}

// RequiresKeys reports whether requests to routes that are not public need a key.
func (t *Table) RequiresKeys() bool {
	return t.organisationsMissing || t.config.KeyRequirement() == KeysRequired
}

// OrganisationsMissing reports whether keys are required but the configuration has no
// list of organisations, so that it can't be told which keys are valid.
func (t *Table) OrganisationsMissing() bool { return t.organisationsMissing }

// RetainKeys returns a table that requires keys even if the configuration has no list of
// organisations, since an earlier one had.
func (t *Table) RetainKeys() *Table {
	retained := *t
	retained.organisationsMissing = t.config.KeyRequirement() != KeysRequired
	return &retained
}
