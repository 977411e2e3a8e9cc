// Package pieces reads bodies of requests in pieces as they arrive.
package pieces

import (
	"errors"
	"io"
	"sync"
)

const (
	// firstPiece and largestPiece are the sizes of the pieces in which a body is read. Each piece is at most as large as all
	// before it, so that no more than twice of what has arrived is allocated, whatever length the caller announces.
	firstPiece, largestPiece = 4 << 10, 256 << 10
)

// large holds the largest pieces of earlier bodies. Bodies of callers that are turned away would otherwise become garbage faster
// than it is collected, and the process would exceed its memory limit.
var large = sync.Pool{New: func() any { return new([largestPiece]byte) }}

// pieceList holds what has arrived of a body.
type pieceList struct {
	pieces [][]byte
	pooled []*[largestPiece]byte
}

// next returns a piece of size bytes, at most largestPiece.
func (l *pieceList) next(size int) []byte {
	if size < largestPiece {
		return make([]byte, size)
	}
	piece := large.Get().(*[largestPiece]byte)
	l.pooled = append(l.pooled, piece)
	return piece[:]
}

// free gives pieces back. What was read into them must not be used afterwards.
func (l *pieceList) free() {
	for _, piece := range l.pooled {
		large.Put(piece)
	}
}

// Read reads a body of an announced length, or of any length if that is negative. The pieces are joined when the body is
// complete, so that a body that never ends takes no more than its pieces.
func Read(r io.Reader, announced int64) ([]byte, error) {
	var list pieceList
	defer list.free()
	total, size := 0, firstPiece
	for {
		if left := announced - int64(total); announced >= 0 && left < int64(size) {
			size = int(left)
		}
		if size == 0 {
			break
		}
		piece := list.next(size)
		n, err := io.ReadFull(r, piece)
		list.pieces, total = append(list.pieces, piece[:n]), total+n
		ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		switch {
		case ended && announced >= 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil && !ended:
			return nil, err
		}
		if ended {
			break
		}
		size = min(max(total, firstPiece), largestPiece)
	}
	if len(list.pieces) == 1 { // The first piece is not a pooled one.
		return list.pieces[0], nil
	}
	body := make([]byte, 0, total)
	for i, piece := range list.pieces {
		body = append(body, piece...)
		list.pieces[i] = nil
	}
	return body, nil
}
