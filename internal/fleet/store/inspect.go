package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
)

// Layout of bbolt's two meta pages. bbolt maps its file into memory and trusts the sizes in the meta pages: with a truncated
// file, the first access past its end would kill the process. checkMetaPages therefore reads the meta pages with plain file
// reads first.
const (
	metaMagic      = 0xED0CDAED
	metaFormat     = 2
	pageHeaderSize = 16
	metaSize       = 64 // magic 4, version 4, page size 4, flags 4, root 16, freelist 8, pages 8, txid 8, sum 8
)

// checkMetaPages reports whether the file does not exist yet, and returns an error if it is truncated or damaged.
func checkMetaPages(path string) (missing bool, err error) {
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
	var newestTx, pages, pageSize uint64
	validPages := 0
	for _, at := range []int64{0, 4096, 8192, 16384, 32768, 65536} { // the second meta page is at the page size
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
		validPages++
		if tx := binary.NativeEndian.Uint64(b[48:]); tx >= newestTx {
			newestTx, pages = tx, binary.NativeEndian.Uint64(b[40:])
			pageSize = uint64(binary.NativeEndian.Uint32(b[8:]))
		}
	}
	// With only one valid meta page, bbolt would open the state before the last write and lose what was acknowledged since.
	if validPages < 2 {
		return false, fmt.Errorf("%w: %s has %d valid meta pages of 2 in %d bytes", ErrTorn, path, validPages, size)
	}
	if pages >= 1<<40 || uint64(size) < pages*pageSize {
		return false, fmt.Errorf("%w: %s has %d bytes, its meta page states %d pages of %d bytes", ErrTorn, path, size, pages, pageSize)
	}
	return false, nil
}
