package pieces

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// Guards against bodies that are cut, changed, or taken for complete although they ended early.
func TestRead(t *testing.T) {
	for _, size := range []int{0, 1, firstPiece - 1, firstPiece, firstPiece + 1, 100_000, 3 << 20} {
		text := []byte(strings.Repeat("0123456", size/7+1))[:size]
		for _, reader := range []io.Reader{bytes.NewReader(text), iotest.DataErrReader(bytes.NewReader(text)), iotest.HalfReader(bytes.NewReader(text))} {
			got, err := Read(reader, -1)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, text), "size %d", size)
		}
		got, err := Read(bytes.NewReader(text), int64(size))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, text), "size %d", size)
		_, err = Read(bytes.NewReader(text), int64(size)+1)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
	broken := errors.New("broken")
	_, err := Read(io.MultiReader(strings.NewReader("text"), iotest.ErrReader(broken)), -1)
	assert.ErrorIs(t, err, broken)
}

// Guards against an allocation by the length that a caller announces.
func TestAnnouncedLengthAllocatesNothing(t *testing.T) {
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = Read(strings.NewReader("x"), 4<<20) // The body ends early.
		}
	})
	assert.Assert(t, result.AllocedBytesPerOp() < 4*firstPiece, "%d bytes", result.AllocedBytesPerOp())
}

// Guards against bodies of callers that are turned away whose memory becomes garbage faster than it is collected: the process
// exceeded its memory limit.
func TestPiecesAreUsedAgain(t *testing.T) {
	const size = 4 << 20
	text := bytes.Repeat([]byte{'a'}, size-1)
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = Read(bytes.NewReader(text), size) // The body ends early.
		}
	})
	assert.Assert(t, result.AllocedBytesPerOp() < size/2, "%d bytes", result.AllocedBytesPerOp())
}
