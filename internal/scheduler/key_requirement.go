package scheduler

import "github.com/balsamstair/balsamstair/internal/routing"

// retainKeys returns the table that is put in force for a configuration: a configuration
// that lacks the list of organisations although an earlier one had it does not open the
// routes.
func (s *State) retainKeys(table *routing.Table) *routing.Table {
	if table.RequiresKeys() {
		s.keysVersion = max(s.keysVersion, table.Version())
		return table
	}
	if s.keysVersion == 0 || s.keysVersion > table.Version() {
		return table
	}
	s.count(CounterOrganisationsMissing, "")
	s.log("organisations_missing", "version", table.Version(), "required_by_version", s.keysVersion)
	return table.RetainKeys()
}

// keysReported records the newest version with organisations that another instance knows
// of. An instance that has started since would take a configuration without them for that
// of a deployment without keys.
func (s *State) keysReported(version int64, from string) {
	if version <= s.keysVersion {
		return
	}
	s.keysVersion = version
	if s.table == nil || s.table.RequiresKeys() {
		return
	}
	s.log("keys_required_elsewhere", "version", s.table.Version(), "required_by_version", version, "from", from)
	if table := s.retainKeys(s.table); table != s.table {
		s.table = table
		s.emit(ConfigAdopted{Table: table})
	}
}

// needsKey reports whether a request depends on the validity of a key. One without an
// organisation does if the configuration that allowed it may be older than one that
// requires keys.
func (s *State) needsKey(r *request) bool {
	return r.Organisation != nil || r.Version < s.keysVersion && !r.Route.Public
}
