package forward

import (
	"errors"
	"io"
	"net/http"

	"trefoilplank.example/pkg/controller/callerbudget"
)

const (
	// firstPiece and largestPiece are the sizes of the pieces in which a body is read. Each piece is at most as large as all
	// before it, so that no more than twice of what has arrived is allocated, whatever length the caller announces.
	firstPiece, largestPiece = 4 << 10, 256 << 10
)

// ReadBody reads a request body of at most limit bytes. If the body is too long, incomplete or refused, status is the response
// status to send; otherwise it is 0.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int) (body []byte, status int) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength == 0 {
		return nil, 0
	}
	var err error = &http.MaxBytesError{Limit: int64(limit)}
	if r.ContentLength <= int64(limit) {
		body, err = readPieces(http.MaxBytesReader(w, r.Body, int64(limit)), r.ContentLength)
	}
	if err == nil {
		return body, 0
	}
	w.Header()["Connection"] = []string{"close"} // The rest of the body is not read.
	w.Header()["Content-Length"] = []string{"0"}
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		// Many clients read the answer only after they have sent the body.
		callerbudget.Discard(r.Body, int64(limit))
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, callerbudget.ErrNoRoom):
		setRetryAfter(w, noRoomRetry)
		return nil, http.StatusServiceUnavailable
	case errors.Is(err, callerbudget.ErrTooSlow):
		return nil, http.StatusRequestTimeout
	}
	return nil, http.StatusBadRequest
}

// readPieces reads a body of an announced length, or of any length if that is negative. The pieces are joined when the body is
// complete, so that a body that never ends takes no more than its pieces.
func readPieces(r io.Reader, announced int64) ([]byte, error) {
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
