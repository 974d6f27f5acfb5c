package standin

import (
	"container/list"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the part of a prompt that one cache block holds.
const blockBytes = 64

// PrefixBytes is how much of a prompt's beginning a cache event stands for at
// most.
const PrefixBytes = 1024

// cacheEventsKept bounds the events that can be asked for again.
const cacheEventsKept = 4096

// CacheEvent says that the engine took up or dropped a prefix.
type CacheEvent struct {
	// Sequence grows by one with each change; a gap is a lost event.
	Sequence uint64 `json:"sequence"`
	// Prefix is the PrefixDigest of the prompt.
	Prefix uint64 `json:"prefix"`
	Held   bool   `json:"held"`

	at time.Time
}

// cacheBlock is one held block. Its digest covers everything before it.
type cacheBlock struct {
	digest uint64
	// prefix is the PrefixDigest that the block completes, where it does.
	prefix    uint64
	hasPrefix bool
}

// prefixCache holds the latest blocks of prompts. It is not safe for
// concurrent use.
type prefixCache struct {
	capacity int
	blocks   map[uint64]*list.Element
	// order has the block used last at its front.
	order    *list.List
	sequence uint64
	events   []CacheEvent
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{
		capacity: tokens * BytesPerToken / blockBytes,
		blocks:   make(map[uint64]*list.Element),
		order:    list.New(),
	}
}

// held returns how many bytes of the prompt's beginning are held.
func (c *prefixCache) held(prompt string) int {
	bytes := 0
	for _, digest := range blockDigests(prompt) {
		if _, ok := c.blocks[digest]; !ok {
			break
		}
		bytes += blockBytes
	}
	return bytes
}

// insert takes up the prompt's blocks and drops those unused for longest.
func (c *prefixCache) insert(prompt string) {
	digests := blockDigests(prompt)
	marked := prefixBlock(len(prompt))
	// From the last block to the first: a block is of use only while those
	// before it are held, so that they must be dropped after it.
	for i := len(digests) - 1; i >= 0; i-- {
		c.touch(digests[i], i == marked, prompt)
	}
	for c.order.Len() > c.capacity {
		c.dropOldest()
	}
}

func (c *prefixCache) touch(digest uint64, marked bool, prompt string) {
	e, ok := c.blocks[digest]
	if ok {
		c.order.MoveToFront(e)
	} else {
		e = c.order.PushFront(&cacheBlock{digest: digest})
		c.blocks[digest] = e
	}
	b := e.Value.(*cacheBlock)
	if marked && !b.hasPrefix {
		b.prefix, b.hasPrefix = PrefixDigest(prompt), true
		c.publish(b.prefix, true)
	}
}

func (c *prefixCache) dropOldest() {
	e := c.order.Back()
	b := c.order.Remove(e).(*cacheBlock)
	delete(c.blocks, b.digest)
	if b.hasPrefix {
		c.publish(b.prefix, false)
	}
}

func (c *prefixCache) publish(prefix uint64, held bool) {
	c.sequence++
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Prefix: prefix, Held: held, at: time.Now()})
	if len(c.events) > cacheEventsKept {
		c.events = c.events[len(c.events)-cacheEventsKept:]
	}
}

// eventsAfter returns the events after a sequence that happened by a time.
func (c *prefixCache) eventsAfter(sequence uint64, by time.Time) []CacheEvent {
	events := []CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > sequence && !e.at.After(by) {
			events = append(events, e)
		}
	}
	return events
}

// blockDigests returns a digest for each whole block of the prompt.
func blockDigests(prompt string) []uint64 {
	digests := make([]uint64, 0, len(prompt)/blockBytes)
	var before [8]byte
	d := xxhash.New()
	for i := 0; i+blockBytes <= len(prompt); i += blockBytes {
		d.Reset()
		_, _ = d.Write(before[:])
		_, _ = d.WriteString(prompt[i : i+blockBytes])
		sum := d.Sum64()
		digests = append(digests, sum)
		binary.LittleEndian.PutUint64(before[:], sum)
	}
	return digests
}

// PrefixDigest returns the digest under which cache events name the beginning
// of a prompt: its first whole blocks, at most PrefixBytes. It is zero for a
// prompt shorter than a block.
func PrefixDigest(prompt string) uint64 {
	end := (prefixBlock(len(prompt)) + 1) * blockBytes
	if end == 0 {
		return 0
	}
	return xxhash.Sum64String(prompt[:end])
}

// prefixBlock returns the index of the block that completes the prefix which
// events name, or -1 for a prompt shorter than a block.
func prefixBlock(promptBytes int) int {
	return min(promptBytes, PrefixBytes)/blockBytes - 1
}
