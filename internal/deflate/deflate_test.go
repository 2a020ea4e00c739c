package deflate_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/deflate"
)

func large(letter string) []byte { return bytes.Repeat([]byte(letter), 2*deflate.MinBytes) }

func TestDecompressReturnsTheValue(t *testing.T) {
	value, err := deflate.Decompress(deflate.Compress(large("a")))
	must.NoError(t, err)
	must.Eq(t, large("a"), value)
}

// Guards against a short message that fills the memory.
func TestDecompressIsBounded(t *testing.T) {
	var tooLarge *deflate.TooLargeError
	_, err := deflate.Decompress(deflate.Compress(make([]byte, deflate.MaxBytes+1)))
	must.True(t, errors.As(err, &tooLarge))
}

func TestDecompressCorruptValue(t *testing.T) {
	var corrupt *deflate.CorruptError
	for _, data := range [][]byte{nil, []byte("not compressed"), deflate.Compress(large("a"))[:8]} {
		_, err := deflate.Decompress(data)
		must.True(t, errors.As(err, &corrupt), must.Sprint(data))
	}
}

func TestCacheCompressesOnce(t *testing.T) {
	var cache deflate.Cache
	first := cache.Compress("k", 1, large("a"))
	must.EqOp(t, &first[0], &cache.Compress("k", 1, large("a"))[0])
	must.Nil(t, cache.Compress("k", 1, []byte("small")))
}

// Guards against a value that is sent in place of another version of its key.
func TestCacheTellsRevisionsApart(t *testing.T) {
	var cache deflate.Cache
	for _, step := range []struct {
		revision int64
		letter   string
	}{{2, "b"}, {1, "a"}, {3, "c"}, {2, "b"}, {3, "c"}} {
		value, err := deflate.Decompress(cache.Compress("k", step.revision, large(step.letter)))
		must.NoError(t, err)
		must.Eq(t, large(step.letter), value)
	}
}

// Guards against a cache that grows with the keys.
func TestCacheIsBounded(t *testing.T) {
	var cache deflate.Cache
	for i := range 100 {
		letter := string(rune('a' + i%26))
		value, err := deflate.Decompress(cache.Compress(letter, int64(i), large(letter)))
		must.NoError(t, err)
		must.Eq(t, large(letter), value)
	}
}

func FuzzDecompress(f *testing.F) {
	f.Add(deflate.Compress(large("a")))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		value, err := deflate.Decompress(data)
		if err == nil {
			must.LessEq(t, deflate.MaxBytes, len(value))
		}
	})
}
