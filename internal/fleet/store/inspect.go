package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
)

// bbolt maps its file and believes the lengths that its head pages state: one that was cut short would end the process at the
// first touch past its end. So the two head pages are read as plain bytes first.
const (
	metaMagic      = 0xED0CDAED
	metaFormat     = 2
	pageHeaderSize = 16
	metaSize       = 64 // magic 4, version 4, page size 4, flags 4, root 16, freelist 8, pages 8, txid 8, sum 8
)

// inspect says whether the file is to be made (none yet), or refuses it in words.
func checkMetaPages(path string) (fresh bool, err error) {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return true, nil
	}
	if err != nil {
		return false, fmt.Errorf("store: %w", err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return false, fmt.Errorf("store: %w", err)
	}
	size := info.Size()
	var newest, pages, pageSize uint64
	heads := 0
	for _, at := range []int64{0, 4096, 8192, 16384, 32768, 65536} { // the second head page is at one page's size
		if at != 0 && pageSize != 0 && uint64(at) != pageSize {
			continue
		}
		b := make([]byte, metaSize)
		if _, err := f.ReadAt(b, at+pageHeaderSize); err != nil {
			if errors.Is(err, io.EOF) {
				continue
			}
			return false, fmt.Errorf("store: %w", err)
		}
		sum := fnv.New64a()
		sum.Write(b[:metaSize-8])
		if binary.NativeEndian.Uint32(b) != metaMagic || binary.NativeEndian.Uint32(b[4:]) != metaFormat ||
			sum.Sum64() != binary.NativeEndian.Uint64(b[metaSize-8:]) {
			continue
		}
		heads++
		if tx := binary.NativeEndian.Uint64(b[48:]); tx >= newest {
			newest, pages = tx, binary.NativeEndian.Uint64(b[40:])
			pageSize = uint64(binary.NativeEndian.Uint32(b[8:]))
		}
	}
	// With one of them bbolt would go on from the write before the last, and what was acknowledged since would be gone.
	if heads < 2 {
		return false, fmt.Errorf("%w: %s has %d whole head pages of 2 in %d bytes", ErrTorn, path, heads, size)
	}
	if pages >= 1<<40 || uint64(size) < pages*pageSize {
		return false, fmt.Errorf("%w: %s has %d bytes and says it has %d pages of %d", ErrTorn, path, size, pages, pageSize)
	}
	return false, nil
}
