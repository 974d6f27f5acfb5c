package directory

import "github.com/cockroachdb/errors"

// Whether the changes that another instance returns are complete. An instance keeps the
// deletions that it has seen. Those from before its first listing, or between two reads of
// which the second was a listing, it has not seen, and a reader that goes on from such a
// revision would never learn of them. Instances state since when they have seen all;
// of those that don't, releases before this statement, the reader assumes it.

// session is the process of another instance that does not state its history, as far as a
// connection tells.
type session struct {
	id any
	// since is the revision of its first answer: it has listed before that, so that it
	// has seen all deletions after it.
	since int64
}

// historySince returns the revision from which on the instance that gave an answer has
// seen all deletions, as far as is known.
func (w *Watcher) historySince(from string, b Batch) int64 {
	if b.HistorySince > 0 {
		delete(w.sessions, from)
		return b.HistorySince
	}
	s, known := w.sessions[from]
	if !known || b.Session == nil || s.id != b.Session {
		s = session{b.Session, b.Revision}
		w.sessions[from] = s
	}
	return s.since
}

// checkContinuity fails an update whose changes may lack deletions. A source that states
// nothing is then passed over while the platform may still answer, and listed otherwise.
func (w *Watcher) checkContinuity(u *Update) {
	if u.Err != nil || u.From == platformAddress {
		return
	}
	since := w.historySince(u.From, u.Batch)
	switch stated := u.Batch.HistorySince > 0; {
	case u.Full:
		u.Provisional = !stated
		return
	case since <= u.After:
		return
	case stated || w.cfg.Now() < w.bypassed[platformAddress]:
		u.Err = ErrCompacted
	default:
		u.Err = ErrUnprovenHistory
	}
	u.Batch = Batch{Era: u.Batch.Era, HistorySince: u.Batch.HistorySince}
}

// listsAgain reports whether a listing from the source is due although there is one: that
// one is from an instance that may itself lack deletions.
func (w *Watcher) listsAgain(source string) bool {
	return w.listed && w.provisional && source == platformAddress
}

// canListElsewhere reports whether an instance refused changes from before its own
// history without stating that it has one, so that a listing from it may fail too.
func canListElsewhere(u Update) bool {
	return u.From != platformAddress && errors.Is(u.Err, ErrCompacted) && u.Batch.HistorySince == 0
}
