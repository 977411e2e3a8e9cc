package filestore

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/batch/line"
	"trefoilplank.example/pkg/batch/objects"
	"trefoilplank.example/pkg/decision/jobstate"
)

// Bounds of an upload.
const (
	// MaxFileBytes is the largest input file.
	MaxFileBytes = 4 << 30
	// chunkBytes bounds the size of one chunk, and so the memory that loading a part of a job takes.
	chunkBytes = 4 << 20
	// maxMessageBytes bounds the message that is kept for an invalid line.
	maxMessageBytes = 120
	// maxMessages bounds the number of distinct messages that are kept in one shared copy.
	maxMessages = 10_000
)

// Finding describes an invalid line.
type Finding struct {
	// Line counts from 1.
	Line int
	// message is empty for a line that repeats the custom_id of line duplicateOf: 530,000 texts would take too much
	// memory.
	message     string
	duplicateOf int
}

// Message returns what is wrong with the line.
func (f Finding) Message() string {
	if f.duplicateOf > 0 {
		return fmt.Sprintf("custom_id is the same as in line %d", f.duplicateOf)
	}
	return f.message
}

// MarshalJSON writes {"line", "message"}.
func (f Finding) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Line    int    `json:"line"`
		Message string `json:"message"`
	}{f.Line, f.Message()})
}

// Findings is the error of a file with invalid lines. It is ordered by line number.
type Findings []Finding

// Error names the first findings.
func (f Findings) Error() string {
	const shown = 10
	var b bytes.Buffer
	fmt.Fprintf(&b, "%d of the file's lines are not valid", len(f))
	for _, x := range f[:min(len(f), shown)] {
		fmt.Fprintf(&b, "; line %d: %s", x.Line, x.Message())
	}
	if len(f) > shown {
		b.WriteString("; ...")
	}
	return b.String()
}

// ErrTooLarge means that the file is larger than MaxFileBytes or has more lines than line.MaxLines.
var ErrTooLarge = Error.New("file has more than %d lines or %d bytes", line.MaxLines, int64(MaxFileBytes))

// lineID is the 128-bit hash of a custom_id with its line number, kept to find duplicates. It takes 24 bytes per line.
type lineID struct {
	hash xxh3.Uint128
	line int
}

// Upload reads an input file and stores it chunk by chunk.
type Upload struct {
	Store store.Store
	// Meta is filled in by Read; ID and Purpose must be set before.
	Meta *Meta
	// Models and Services are those that the caller is granted.
	Models, Services []string
	// DigestOnly makes Read check and hash the lines without storing them.
	DigestOnly bool

	hash          hash.Hash
	chunk         bytes.Buffer
	chunkLines    int
	piecesWritten int
	lineIDs       []lineID
	findings      Findings
	messages      map[string]string
}

// Read checks the lines of r and stores them. The file exists only once its record is created. Errors: Findings,
// ErrTooLarge, an error of r, or one of the store.
func (u *Upload) Read(ctx context.Context, r io.Reader) error {
	u.hash = sha256.New()
	u.messages = map[string]string{}
	fmt.Fprintf(u.hash, "%s\n", u.Meta.Purpose)
	if !u.DigestOnly {
		if err := u.markInProgress(ctx); err != nil {
			return err
		}
	}
	in := bufio.NewReaderSize(r, line.MaxLineBytes+2)
	for {
		raw, err := u.readLine(in)
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if errors.Is(err, io.EOF) && len(raw) == 0 {
			break
		}
		if err := u.addLine(ctx, raw); err != nil {
			return err
		}
	}
	u.findDuplicates()
	if u.Meta.Lines == 0 {
		u.addFinding(1, "file has no lines")
	}
	if len(u.findings) > 0 {
		slices.SortStableFunc(u.findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
		return u.findings
	}
	u.Meta.Digest = hex.EncodeToString(u.hash.Sum(nil))
	return u.writeChunk(ctx)
}

// readLine returns the next line without its line end. Of a line that is too long it returns line.MaxLineBytes+1 bytes,
// which line.Parse refuses.
func (u *Upload) readLine(in *bufio.Reader) ([]byte, error) {
	raw, err := in.ReadSlice('\n')
	u.hashAndCount(raw)
	long := errors.Is(err, bufio.ErrBufferFull)
	for skip := raw; errors.Is(err, bufio.ErrBufferFull); {
		if u.Meta.Bytes > MaxFileBytes {
			return nil, ErrTooLarge
		}
		skip, err = in.ReadSlice('\n')
		u.hashAndCount(skip)
	}
	switch {
	case u.Meta.Bytes > MaxFileBytes:
		return nil, ErrTooLarge
	case long:
		// The content was overwritten in the buffer, but only the length of a line that is too long is used.
		return raw[:line.MaxLineBytes+1], nil
	case err == nil:
		return bytes.TrimSuffix(raw[:len(raw)-1], []byte("\r")), nil
	}
	return raw, err
}

func (u *Upload) hashAndCount(raw []byte) {
	u.hash.Write(raw)
	u.Meta.Bytes += int64(len(raw))
}

func (u *Upload) addLine(ctx context.Context, raw []byte) error {
	u.Meta.Lines++
	if u.Meta.Lines > line.MaxLines {
		return ErrTooLarge
	}
	item, err := line.Parse(raw)
	if err == nil {
		err = item.Allowed(u.Models, u.Services)
	}
	if err != nil {
		u.addFinding(u.Meta.Lines, err.Error())
		return nil
	}
	u.lineIDs = append(u.lineIDs, lineID{xxh3.HashString128(item.CustomID), u.Meta.Lines})
	u.collectNames(item)
	if len(u.findings) > 0 || u.DigestOnly {
		return nil
	}
	if u.chunkLines >= jobstate.MaxPartItems || u.chunk.Len() > 0 && u.chunk.Len()+len(raw) >= chunkBytes {
		if err := u.writeChunk(ctx); err != nil {
			return err
		}
	}
	u.chunk.Write(raw)
	u.chunk.WriteByte('\n')
	u.chunkLines++
	return nil
}

func (u *Upload) collectNames(item *line.Item) {
	add := func(set *[]string, name string) {
		if name == "" {
			return
		}
		if at, found := slices.BinarySearch(*set, name); !found {
			*set = slices.Insert(*set, at, name)
		}
	}
	add(&u.Meta.Models, item.Model)
	add(&u.Meta.Services, item.Service)
	if item.Model != "" {
		add(&u.Meta.Endpoints, item.URL)
	} else {
		add(&u.Meta.Endpoints, "/v1/services/"+item.Service)
	}
}

// addFinding records an invalid line. It keeps one copy of each of the first maxMessages messages, since a file may have
// 530,000 lines with the same error.
func (u *Upload) addFinding(at int, message string) {
	if len(message) > maxMessageBytes {
		message = strings.ToValidUTF8(message[:maxMessageBytes], "") + "..."
	}
	if m, ok := u.messages[message]; ok {
		message = m
	} else if len(u.messages) < maxMessages {
		u.messages[message] = message
	}
	u.findings = append(u.findings, Finding{Line: at, message: message})
}

// writeChunk stores the lines collected since the last chunk as a chunk.
func (u *Upload) writeChunk(ctx context.Context) error {
	if u.chunkLines == 0 || u.DigestOnly {
		return nil
	}
	data, err := objects.Compress(u.chunk.Bytes())
	if err != nil {
		return Error.Wrap(err)
	}
	n, err := objects.WritePieces(ctx, u.Store, DataPrefix(u.Meta.ID), u.piecesWritten, data)
	if err != nil {
		return err
	}
	u.Meta.Chunks = append(u.Meta.Chunks, Chunk{Lines: u.chunkLines, Bytes: u.chunk.Len(), First: u.piecesWritten, Pieces: n})
	u.piecesWritten += n
	u.chunkLines = 0
	u.chunk.Reset()
	return nil
}

// findDuplicates adds a finding for each line with the custom_id of an earlier line.
func (u *Upload) findDuplicates() {
	slices.SortFunc(u.lineIDs, func(a, b lineID) int {
		return cmp.Or(cmp.Compare(a.hash.Hi, b.hash.Hi), cmp.Compare(a.hash.Lo, b.hash.Lo), cmp.Compare(a.line, b.line))
	})
	for i := 1; i < len(u.lineIDs); i++ {
		if u.lineIDs[i].hash == u.lineIDs[i-1].hash {
			u.findings = append(u.findings, Finding{Line: u.lineIDs[i].line, duplicateOf: u.lineIDs[i-1].line})
		}
	}
	u.lineIDs = nil
}

// markInProgress stores an object that names the upload, so that retention removes its chunks if the upload is never
// completed.
func (u *Upload) markInProgress(ctx context.Context) error {
	_, err := objects.Create(ctx, u.Store, UploadPrefix+u.Meta.ID, []byte(time.Now().UTC().Format(time.RFC3339)))
	return err
}

// CleanUpUpload removes the in-progress mark of an upload; if the upload was not accepted, it first removes the record and
// the chunks.
func CleanUpUpload(ctx context.Context, s store.Store, id string, accepted bool) error {
	if !accepted {
		if err := objects.Delete(ctx, s, MetaKey(id)); err != nil {
			return err
		}
		// Pieces are written one after the other, and a write whose answer was lost may leave one gap. So two absent
		// pieces mark the end.
		for n, absent := 0, 0; absent < 2; n++ {
			err := s.Delete(ctx, objects.PieceKey(DataPrefix(id), n), store.AnyRevision)
			switch {
			case errors.Is(err, store.ErrNotFound):
				absent++
			case err != nil:
				return err
			}
		}
	}
	return objects.Delete(ctx, s, UploadPrefix+id)
}
