package directory

import "github.com/cockroachdb/errors"

// This file decides whether the changes that another instance returns are complete. An
// instance has not seen the deletions before its first listing, nor those between a read
// and a later listing. A reader that continues from a revision before these would never
// learn of them. Instances state the revision since which they have seen all deletions.
// For those of earlier releases, which don't, the reader infers one.

// session is the connection to an instance that does not state its history. Another
// connection may lead to another process, with a shorter history.
type session struct {
	id any
	// since is the revision of the first answer: the process has listed before that, so
	// that it has seen all deletions after it.
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

// refusedWithoutHistory reports whether an instance refused changes without stating any
// history: it may have no listing, so that another source is listed.
func refusedWithoutHistory(u Update) bool {
	return u.From != platformAddress && errors.Is(u.Err, ErrCompacted) && u.Batch.HistorySince == 0
}
