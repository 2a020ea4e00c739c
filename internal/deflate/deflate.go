// Package deflate compresses large values that an entry host sends to many others, so that
// they don't fill thin links. A configuration in JSON becomes a fifth of its size.
package deflate

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

const (
	// MinBytes is the size from which a value is compressed. Smaller ones fit into a few
	// packets as they are.
	MinBytes = 4 << 10
	// MaxBytes bounds a value that is decompressed. The store's values are far smaller.
	MaxBytes = 16 << 20
	// maxCached bounds the values that a Cache holds, each the newest of its key.
	maxCached = 8
)

// CorruptError reports a compressed value that can't be decompressed.
type CorruptError struct{ Cause error }

func (e *CorruptError) Error() string { return fmt.Sprintf("corrupt compressed value: %v", e.Cause) }

func (e *CorruptError) Unwrap() error { return e.Cause }

// TooLargeError reports a compressed value of more than MaxBytes.
type TooLargeError struct{}

func (*TooLargeError) Error() string {
	return fmt.Sprintf("compressed value of more than %d bytes", MaxBytes)
}

// Compress returns a value compressed.
func Compress(value []byte) []byte {
	var compressed bytes.Buffer
	// The level is valid, and writing to a buffer never fails.
	writer, _ := flate.NewWriter(&compressed, flate.BestSpeed)
	_, _ = writer.Write(value)
	_ = writer.Close()
	return compressed.Bytes()
}

// Decompress returns the value, or *CorruptError or *TooLargeError.
func Decompress(compressed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), MaxBytes+1))
	switch {
	case err != nil:
		return nil, &CorruptError{err}
	case len(value) > MaxBytes:
		return nil, &TooLargeError{}
	}
	return value, nil
}

// Cache compresses the newest value of each key once for all that it is sent to. The zero
// value is ready for use. It is safe for concurrent use.
type Cache struct {
	mu     sync.Mutex
	values map[string]*cached
}

type cached struct {
	revision   int64
	compress   sync.Once
	compressed []byte
}

// Compress returns the value that a key has at a revision compressed, or nil if it is to be
// sent as it is.
func (c *Cache) Compress(key string, revision int64, value []byte) []byte {
	if len(value) < MinBytes {
		return nil
	}
	entry := c.entry(key, revision)
	entry.compress.Do(func() {
		if compressed := Compress(value); len(compressed) < len(value) {
			entry.compressed = compressed
		}
	})
	return entry.compressed
}

func (c *Cache) entry(key string, revision int64) *cached {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.values[key]
	if entry != nil && entry.revision == revision {
		return entry
	}
	if entry == nil && len(c.values) >= maxCached || c.values == nil {
		c.values = make(map[string]*cached)
	}
	if fresh := (&cached{revision: revision}); entry == nil || entry.revision < revision {
		c.values[key] = fresh
		return fresh
	}
	// An older value is asked for once more; it isn't kept.
	return &cached{revision: revision}
}
