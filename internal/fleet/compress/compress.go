// Package compress compresses large agreed commands and states for the log and for the network. The output is deterministic, and the size
// of unpacked data is limited before memory is allocated for it. The package does no I/O.
package compress

import (
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// Window is the distance, in bytes, within which a repetition is found; it covers a machine's name in an item that follows the whole
// inventory. Twice as much costs memory when packing; with half, the names of a large fleet are stored twice.
const Window = 8 << 20

// maxUnstatedSize bounds the content of frames whose header does not state its size: only frames of less content omit it.
const maxUnstatedSize = 256

var encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(Window), zstd.WithEncoderLevel(zstd.SpeedDefault))
})

// Pack compresses raw to one frame with a checksum.
func Pack(raw []byte) ([]byte, error) {
	e, err := encoder()
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	return e.EncodeAll(raw, nil), nil
}

// Unpack returns the content that Pack compressed. It refuses a frame that is truncated, damaged or holds more than maxSize bytes,
// without allocating memory for more than that.
func Unpack(packed []byte, maxSize int) ([]byte, error) {
	var header zstd.Header
	if err := header.Decode(packed); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	size := header.FrameContentSize
	if !header.HasFCS {
		size = maxUnstatedSize
	}
	if header.Skippable || !header.HasCheckSum || header.HasFCS && size > uint64(maxSize) {
		return nil, fmt.Errorf("pack: frame of %d bytes (checksum present: %v), limit %d", size, header.HasCheckSum, maxSize)
	}
	// The memory limit includes the window, which is at least 1 KB in any frame.
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(max(maxSize, 1<<10))),
		zstd.WithDecoderMaxWindow(Window), zstd.WithDecodeAllCapLimit(true))
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	defer d.Close()
	raw, err := d.DecodeAll(packed, make([]byte, 0, min(size, uint64(maxSize))))
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	return raw, nil
}
