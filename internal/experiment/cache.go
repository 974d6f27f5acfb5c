package experiment

import "container/list"

// prefixCache is an LRU cache of prompt parts with a capacity in tokens.
type prefixCache struct {
	capacity, used int
	lru            *list.List
	entries        map[uint64]*list.Element
	onChange       func(prefix uint64, cached bool)
}

// cacheEntry is a shared prefix, or the rest of one prompt.
type cacheEntry struct {
	key    uint64
	tokens int
	shared bool
}

func newPrefixCache(tokens int, onChange func(uint64, bool)) *prefixCache {
	return &prefixCache{capacity: tokens, lru: list.New(), entries: map[uint64]*list.Element{}, onChange: onChange}
}

func (c *prefixCache) contains(key uint64) bool { return c.entries[key] != nil }

// use reports whether an entry is cached, and marks it as most recently used.
func (c *prefixCache) use(key uint64) bool {
	element := c.entries[key]
	if element != nil {
		c.lru.MoveToFront(element)
	}
	return element != nil
}

func (c *prefixCache) insert(key uint64, tokens int, shared bool) {
	if c.use(key) {
		return
	}
	c.entries[key] = c.lru.PushFront(cacheEntry{key, tokens, shared})
	c.used += tokens
	if shared {
		c.onChange(key, true)
	}
	for c.used > c.capacity {
		c.evict(c.lru.Back())
	}
}

func (c *prefixCache) evict(element *list.Element) {
	p := c.lru.Remove(element).(cacheEntry)
	delete(c.entries, p.key)
	c.used -= p.tokens
	if p.shared {
		c.onChange(p.key, false)
	}
}

// sharedPrefixes returns the cached shared prefixes, most recently used first.
func (c *prefixCache) sharedPrefixes() []uint64 {
	var keys []uint64
	for element := c.lru.Front(); element != nil; element = element.Next() {
		if p := element.Value.(cacheEntry); p.shared {
			keys = append(keys, p.key)
		}
	}
	return keys
}

// clear removes all entries without calling onChange, as in a crash.
func (c *prefixCache) clear() {
	c.lru.Init()
	clear(c.entries)
	c.used = 0
}
