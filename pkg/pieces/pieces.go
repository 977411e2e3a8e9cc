// Package pieces reads bodies of requests in pieces as they arrive.
package pieces

import (
	"errors"
	"io"
)

const (
	// firstPiece and largestPiece are the sizes of the pieces in which a body is read. Each piece is at most as large as all
	// before it, so that no more than twice of what has arrived is allocated, whatever length the caller announces.
	firstPiece, largestPiece = 4 << 10, 256 << 10
)

// Read reads a body of an announced length, or of any length if that is negative. The pieces are joined when the body is
// complete, so that a body that never ends takes no more than its pieces.
func Read(r io.Reader, announced int64) ([]byte, error) {
	var pieces [][]byte
	total, size := 0, firstPiece
	for {
		if left := announced - int64(total); announced >= 0 && left < int64(size) {
			size = int(left)
		}
		if size == 0 {
			break
		}
		piece := make([]byte, size)
		n, err := io.ReadFull(r, piece)
		pieces, total = append(pieces, piece[:n]), total+n
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
	if len(pieces) == 1 {
		return pieces[0], nil
	}
	body := make([]byte, 0, total)
	for i, piece := range pieces {
		body = append(body, piece...)
		pieces[i] = nil
	}
	return body, nil
}
