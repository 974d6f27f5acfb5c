package experiment

import "container/list"

// prefixCache holds the prompt pieces that were used last, in limited memory.
type prefixCache struct {
	capacity, used int
	order          *list.List
	at             map[uint64]*list.Element
	changed        func(prefix uint64, held bool)
}

// piece is a shared prefix, or the rest of one prompt.
type piece struct {
	key    uint64
	tokens int
	shared bool
}

func newPrefixCache(tokens int, changed func(uint64, bool)) *prefixCache {
	return &prefixCache{capacity: tokens, order: list.New(), at: map[uint64]*list.Element{}, changed: changed}
}

func (c *prefixCache) holds(key uint64) bool { return c.at[key] != nil }

// touch reports whether a piece is held, and marks it as used.
func (c *prefixCache) touch(key uint64) bool {
	at := c.at[key]
	if at != nil {
		c.order.MoveToFront(at)
	}
	return at != nil
}

func (c *prefixCache) put(key uint64, tokens int, shared bool) {
	if c.touch(key) {
		return
	}
	c.at[key] = c.order.PushFront(piece{key, tokens, shared})
	c.used += tokens
	if shared {
		c.changed(key, true)
	}
	for c.used > c.capacity {
		c.drop(c.order.Back())
	}
}

func (c *prefixCache) drop(at *list.Element) {
	p := c.order.Remove(at).(piece)
	delete(c.at, p.key)
	c.used -= p.tokens
	if p.shared {
		c.changed(p.key, false)
	}
}

// shared lists the shared prefixes, the one used last first.
func (c *prefixCache) shared() []uint64 {
	var keys []uint64
	for at := c.order.Front(); at != nil; at = at.Next() {
		if p := at.Value.(piece); p.shared {
			keys = append(keys, p.key)
		}
	}
	return keys
}

// clear forgets everything without a word, as a crash does.
func (c *prefixCache) clear() {
	c.order.Init()
	clear(c.at)
	c.used = 0
}
