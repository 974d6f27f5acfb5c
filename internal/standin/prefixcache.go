package standin

import (
	"container/list"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the size of the prompt block in one cache entry.
const blockBytes = 64

// PrefixBytes is the maximum length of the prompt prefix that a cache event
// identifies.
const PrefixBytes = 1024

// maxCacheEvents is the number of latest events that are kept for reads, which
// limits the memory of a long run. A reader that falls further behind sees a gap
// in the sequence.
const maxCacheEvents = 4096

// CacheEvent reports that the engine cached or evicted a prefix.
type CacheEvent struct {
	// Sequence increases by one with each event. A gap means a lost event.
	Sequence uint64 `json:"sequence"`
	// Prefix is the PrefixDigest of the prompt.
	Prefix uint64 `json:"prefix"`
	Cached bool   `json:"held"`

	at time.Time
}

// cacheBlock is one cached block. Its digest covers all preceding blocks.
type cacheBlock struct {
	digest uint64
	// prefix is the PrefixDigest of the prompt if the block completes the
	// prefix.
	prefix    uint64
	hasPrefix bool
}

// prefixCache is an LRU cache of prompt blocks. It is not safe for concurrent
// use.
type prefixCache struct {
	capacity int
	blocks   map[uint64]*list.Element
	// lru has the most recently used block at the front.
	lru      *list.List
	sequence uint64
	events   []CacheEvent
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{
		capacity: tokens * BytesPerToken / blockBytes,
		blocks:   make(map[uint64]*list.Element),
		lru:      list.New(),
	}
}

// cachedBytes returns the length of the cached prefix of the prompt.
func (c *prefixCache) cachedBytes(prompt string) int {
	length := 0
	for _, digest := range blockDigests(prompt) {
		if _, ok := c.blocks[digest]; !ok {
			break
		}
		length += blockBytes
	}
	return length
}

// insert adds the blocks of the prompt and evicts the least recently used
// blocks.
func (c *prefixCache) insert(prompt string) {
	digests := blockDigests(prompt)
	prefixEnd := lastPrefixBlock(len(prompt))
	// The blocks are used from last to first: a block is useful only while
	// the preceding blocks are cached, so it must be evicted before them.
	for i := len(digests) - 1; i >= 0; i-- {
		c.use(digests[i], i == prefixEnd, prompt)
	}
	for c.lru.Len() > c.capacity {
		c.evictOldest()
	}
}

func (c *prefixCache) use(digest uint64, endsPrefix bool, prompt string) {
	e, ok := c.blocks[digest]
	if ok {
		c.lru.MoveToFront(e)
	} else {
		e = c.lru.PushFront(&cacheBlock{digest: digest})
		c.blocks[digest] = e
	}
	b := e.Value.(*cacheBlock)
	if endsPrefix && !b.hasPrefix {
		b.prefix, b.hasPrefix = PrefixDigest(prompt), true
		c.addEvent(b.prefix, true)
	}
}

func (c *prefixCache) evictOldest() {
	e := c.lru.Back()
	b := c.lru.Remove(e).(*cacheBlock)
	delete(c.blocks, b.digest)
	if b.hasPrefix {
		c.addEvent(b.prefix, false)
	}
}

func (c *prefixCache) addEvent(prefix uint64, cached bool) {
	c.sequence++
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Prefix: prefix, Cached: cached, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the events after a sequence that occurred no later than
// until.
func (c *prefixCache) eventsAfter(sequence uint64, until time.Time) []CacheEvent {
	events := []CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > sequence && !e.at.After(until) {
			events = append(events, e)
		}
	}
	return events
}

// blockDigests returns a digest for each full block of the prompt.
func blockDigests(prompt string) []uint64 {
	digests := make([]uint64, 0, len(prompt)/blockBytes)
	var previous [8]byte
	d := xxhash.New()
	for i := 0; i+blockBytes <= len(prompt); i += blockBytes {
		d.Reset()
		_, _ = d.Write(previous[:])
		_, _ = d.WriteString(prompt[i : i+blockBytes])
		sum := d.Sum64()
		digests = append(digests, sum)
		binary.LittleEndian.PutUint64(previous[:], sum)
	}
	return digests
}

// PrefixDigest returns the digest that identifies the prefix of a prompt in
// cache events. The prefix consists of the first full blocks, at most
// PrefixBytes. The digest is zero for a prompt shorter than a block.
func PrefixDigest(prompt string) uint64 {
	end := (lastPrefixBlock(len(prompt)) + 1) * blockBytes
	if end == 0 {
		return 0
	}
	return xxhash.Sum64String(prompt[:end])
}

// lastPrefixBlock returns the index of the last block of the prefix that cache
// events identify, or -1 for a prompt shorter than a block.
func lastPrefixBlock(promptBytes int) int {
	return min(promptBytes, PrefixBytes)/blockBytes - 1
}
