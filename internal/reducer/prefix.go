package reducer

import "container/list"

// prefixSet is a bounded LRU set of the digests of prompt prefixes that an
// endpoint probably caches. It is only probable, because a prefix is added when a
// request is granted a slot, and the engine's cache events may be lost.
type prefixSet struct {
	limit int
	// order has the most recently added prefix at its front.
	order    *list.List
	elements map[uint64]*list.Element
}

func newPrefixSet(limit int) *prefixSet {
	return &prefixSet{limit: limit, order: list.New(), elements: map[uint64]*list.Element{}}
}

// has reports whether the prefix is probably cached. Zero means no prefix.
func (p *prefixSet) has(prefix uint64) bool {
	return prefix != 0 && p.elements[prefix] != nil
}

func (p *prefixSet) add(prefix uint64) {
	if prefix == 0 {
		return
	}
	if e := p.elements[prefix]; e != nil {
		p.order.MoveToFront(e)
		return
	}
	p.elements[prefix] = p.order.PushFront(prefix)
	if p.order.Len() > p.limit {
		last := p.order.Back()
		p.order.Remove(last)
		delete(p.elements, last.Value.(uint64))
	}
}

func (p *prefixSet) remove(prefix uint64) {
	if e := p.elements[prefix]; e != nil {
		p.order.Remove(e)
		delete(p.elements, prefix)
	}
}

func (p *prefixSet) clear() {
	p.order.Init()
	clear(p.elements)
}
