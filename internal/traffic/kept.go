package traffic

import "github.com/balsamstair/balsamstair/internal/reducer"

// keptAnswers accounts for the complete answers that are kept for requests that
// are sent again.
type keptAnswers struct {
	sizes map[reducer.RequestID]int64
	// order lists the answers from the oldest to the newest. It may contain
	// answers that have been removed.
	order []reducer.RequestID
	used  int64
}

// add adds an answer and returns the answers that it evicts, oldest first.
func (k *keptAnswers) add(id reducer.RequestID, size, limit int64) (evicted []reducer.RequestID) {
	k.sizes[id] = size
	k.order = append(k.order, id)
	k.used += size
	for k.used > limit && len(k.order) > 0 {
		oldest := k.order[0]
		k.order = k.order[1:]
		if k.remove(oldest) {
			evicted = append(evicted, oldest)
		}
	}
	return evicted
}

// remove removes an answer and reports whether it was kept.
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
