package objects

import (
	"bytes"
	"context"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"

	"trefoilplank.example/pkg/adapter/store"
)

// MaxBlobBytes bounds the decompressed size of a value that is held in memory, so that a damaged value can't exhaust it.
const MaxBlobBytes = 16 << 20

// pieceBytes is the size of the pieces that compressed data is split into, below store.MaxValueBytes.
const pieceBytes = 1_000_000

// All calls share one encoder and one decoder, which keeps the memory per node small. They are created at program start,
// since testing/synctest does not allow sharing channels that were created within a test.
var (
	encoder, encoderErr = newEncoder()
	decoder, decoderErr = zstd.NewReader(nil, zstd.WithDecoderConcurrency(2), zstd.WithDecoderMaxMemory(MaxBlobBytes))
)

func newEncoder() (*zstd.Encoder, error) {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(2), zstd.WithWindowSize(1<<20))
	if err == nil {
		// The encoder creates its channels in the first call.
		e.EncodeAll(nil, nil)
	}
	return e, err
}

// Compress returns raw as one zstd frame. Frames may be concatenated; Decompress then returns the concatenated data.
func Compress(raw []byte) ([]byte, error) {
	if encoderErr != nil {
		return nil, encoderErr
	}
	return encoder.EncodeAll(raw, nil), nil
}

// Decompress returns the data of one or more frames. It fails if they are damaged or hold more than MaxBlobBytes.
func Decompress(frames []byte) ([]byte, error) {
	if decoderErr != nil {
		return nil, decoderErr
	}
	return decoder.DecodeAll(frames, nil)
}

// PieceKey returns the store key of piece n of the data below prefix.
func PieceKey(prefix string, n int) string { return fmt.Sprintf("%s/%06d", prefix, n) }

// PieceCount returns the number of pieces that data of this size is split into.
func PieceCount(size int) int { return max(1, (size+pieceBytes-1)/pieceBytes) }

// WritePieces stores compressed data as the pieces first, first+1, ... below prefix and returns their number.
func WritePieces(ctx context.Context, s store.Store, prefix string, first int, data []byte) (int, error) {
	n := PieceCount(len(data))
	for i := range n {
		piece := data[i*pieceBytes : min((i+1)*pieceBytes, len(data))]
		if _, err := Create(ctx, s, PieceKey(prefix, first+i), piece); err != nil {
			return n, err
		}
	}
	return n, nil
}

// ReadPieces reads the n pieces from first on that WritePieces stored below prefix, and returns their decompressed data.
func ReadPieces(ctx context.Context, s store.Store, prefix string, first, n int) ([]byte, error) {
	frames, err := ReadFrames(ctx, s, prefix, first, n)
	if err != nil {
		return nil, err
	}
	return Decompress(frames)
}

// DecompressStream passes the data of one or more frames, of any size, to use. It holds a window of the data in memory.
func DecompressStream(frames []byte, use func(io.Reader) error) error {
	r, err := zstd.NewReader(bytes.NewReader(frames), zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxBlobBytes))
	if err != nil {
		return err
	}
	defer r.Close()
	return use(r)
}

// ReadFrames is ReadPieces without decompressing the data.
func ReadFrames(ctx context.Context, s store.Store, prefix string, first, n int) ([]byte, error) {
	var data bytes.Buffer
	for i := range n {
		o, err := Get(ctx, s, PieceKey(prefix, first+i))
		if err != nil {
			return nil, err
		}
		data.Write(o.Value)
	}
	return data.Bytes(), nil
}
