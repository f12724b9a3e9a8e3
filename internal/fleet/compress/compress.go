// Package compress is compression of large agreed commands and states, for the log and for links: the same bytes in give the same bytes out, and
// what comes out of an unpacking is bounded before it is made. Pure.
package compress

import (
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// Window is how far back a repetition is found: a machine's name in an item after the whole inventory. Twice as much: memory
// of whoever packs; half: names of a large fleet are written twice.
const Window = 8 << 20

// untold: frames of fewer bytes do not tell how many they hold.
const maxUnstatedSize = 256

var encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(Window), zstd.WithEncoderLevel(zstd.SpeedDefault))
})

// Pack gives raw as one frame with a checksum.
func Pack(raw []byte) ([]byte, error) {
	e, err := encoder()
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	return e.EncodeAll(raw, nil), nil
}

// Unpack gives what Pack was given. A frame that is torn, damaged or holds over most bytes is refused, without room made
// for more than that.
func Unpack(packed []byte, most int) ([]byte, error) {
	var head zstd.Header
	if err := head.Decode(packed); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	size := head.FrameContentSize
	if !head.HasFCS {
		size = maxUnstatedSize
	}
	if head.Skippable || !head.HasCheckSum || head.HasFCS && size > uint64(most) {
		return nil, fmt.Errorf("pack: a frame of %d bytes (with a checksum: %v), %d at most", size, head.HasCheckSum, most)
	}
	// The window counts as memory too; it is at least 1 KB in any frame.
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(max(most, 1<<10))),
		zstd.WithDecoderMaxWindow(Window), zstd.WithDecodeAllCapLimit(true))
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	defer d.Close()
	raw, err := d.DecodeAll(packed, make([]byte, 0, min(size, uint64(most))))
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	return raw, nil
}
