package traffic

import "github.com/balsamstair/balsamstair/internal/reducer"

// keptAnswers accounts for the whole answers that are kept for re-sends.
type keptAnswers struct {
	sizes map[reducer.RequestID]int64
	// order is in order of time; it may hold answers that are gone already.
	order []reducer.RequestID
	used  int64
}

// add enters an answer and returns those that have to go, oldest first.
func (k *keptAnswers) add(id reducer.RequestID, size, limit int64) (gone []reducer.RequestID) {
	k.sizes[id] = size
	k.order = append(k.order, id)
	k.used += size
	for k.used > limit && len(k.order) > 0 {
		oldest := k.order[0]
		k.order = k.order[1:]
		if k.remove(oldest) {
			gone = append(gone, oldest)
		}
	}
	return gone
}

// remove takes an answer out and reports whether it was there.
func (k *keptAnswers) remove(id reducer.RequestID) bool {
	size, ok := k.sizes[id]
	if !ok {
		return false
	}
	delete(k.sizes, id)
	k.used -= size
	if len(k.sizes) == 0 {
		k.order = nil
	}
	return true
}
