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
	// chunkBytes bounds the lines of one chunk, and so the memory that a part of a job takes when it is loaded.
	chunkBytes = 4 << 20
	// maxMessage bounds what is kept of the fault of a line, in bytes.
	maxMessage = 120
	// maxMessages bounds the texts that are kept once for all lines.
	maxMessages = 10_000
)

// Finding says what is wrong with a line.
type Finding struct {
	// Line counts from 1.
	Line int
	// message is empty for a line whose custom_id line sameAs has: 530,000 texts would take too much memory.
	message string
	sameAs  int
}

// Message returns what is wrong.
func (f Finding) Message() string {
	if f.sameAs > 0 {
		return fmt.Sprintf("custom_id is the same as in line %d", f.sameAs)
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

// Findings is the error of a file with invalid lines, ordered by line.
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

// lineID is the 128-bit hash of a custom_id and its line, kept to find duplicates: 24 bytes a line.
type lineID struct {
	hash xxh3.Uint128
	line int
}

// Upload reads an input file and stores it chunk by chunk.
type Upload struct {
	Store store.Store
	// Meta is filled in while reading; ID must be set.
	Meta *Meta
	// Models and Services are what the caller is granted.
	Models, Services []string
	// DigestOnly checks and digests the lines without storing them.
	DigestOnly bool

	hash     hash.Hash
	chunk    bytes.Buffer
	lines    int
	pieces   int
	ids      []lineID
	findings Findings
	messages map[string]string
}

// Read stores the lines of r. The file exists only once its record is created. Errors: Findings, ErrTooLarge,
// an error of r, or one of the store.
func (u *Upload) Read(ctx context.Context, r io.Reader) error {
	u.hash = sha256.New()
	u.messages = map[string]string{}
	fmt.Fprintf(u.hash, "%s\n", u.Meta.Purpose)
	if !u.DigestOnly {
		if err := u.mark(ctx); err != nil {
			return err
		}
	}
	in := bufio.NewReaderSize(r, line.MaxLineBytes+2)
	for {
		raw, err := u.next(in)
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if errors.Is(err, io.EOF) && len(raw) == 0 {
			break
		}
		if err := u.add(ctx, raw); err != nil {
			return err
		}
	}
	u.findDuplicates()
	if u.Meta.Lines == 0 {
		u.find(1, "file has no lines")
	}
	if len(u.findings) > 0 {
		slices.SortStableFunc(u.findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
		return u.findings
	}
	u.Meta.Digest = hex.EncodeToString(u.hash.Sum(nil))
	return u.flush(ctx)
}

// next returns the next line without its end, or a prefix above line.MaxLineBytes of a longer one.
func (u *Upload) next(in *bufio.Reader) ([]byte, error) {
	raw, err := in.ReadSlice('\n')
	u.count(raw)
	long := errors.Is(err, bufio.ErrBufferFull)
	for skip := raw; errors.Is(err, bufio.ErrBufferFull); {
		if u.Meta.Bytes > MaxFileBytes {
			return nil, ErrTooLarge
		}
		skip, err = in.ReadSlice('\n')
		u.count(skip)
	}
	switch {
	case u.Meta.Bytes > MaxFileBytes:
		return nil, ErrTooLarge
	case long:
		// The buffer was overwritten; only the length matters for a line that is too long.
		return raw[:line.MaxLineBytes+1], nil
	case err == nil:
		return bytes.TrimSuffix(raw[:len(raw)-1], []byte("\r")), nil
	}
	return raw, err
}

func (u *Upload) count(raw []byte) {
	u.hash.Write(raw)
	u.Meta.Bytes += int64(len(raw))
}

func (u *Upload) add(ctx context.Context, raw []byte) error {
	u.Meta.Lines++
	if u.Meta.Lines > line.MaxLines {
		return ErrTooLarge
	}
	item, err := line.Parse(raw)
	if err == nil {
		err = item.Allowed(u.Models, u.Services)
	}
	if err != nil {
		u.find(u.Meta.Lines, err.Error())
		return nil
	}
	u.ids = append(u.ids, lineID{xxh3.HashString128(item.CustomID), u.Meta.Lines})
	u.note(item)
	if len(u.findings) > 0 || u.DigestOnly {
		return nil
	}
	if u.lines >= jobstate.MaxPartItems || u.chunk.Len() > 0 && u.chunk.Len()+len(raw) >= chunkBytes {
		if err := u.flush(ctx); err != nil {
			return err
		}
	}
	u.chunk.Write(raw)
	u.chunk.WriteByte('\n')
	u.lines++
	return nil
}

func (u *Upload) note(i *line.Item) {
	add := func(set *[]string, name string) {
		if name == "" {
			return
		}
		if at, found := slices.BinarySearch(*set, name); !found {
			*set = slices.Insert(*set, at, name)
		}
	}
	add(&u.Meta.Models, i.Model)
	add(&u.Meta.Services, i.Service)
	if i.Model != "" {
		add(&u.Meta.Endpoints, i.URL)
	} else {
		add(&u.Meta.Endpoints, "/v1/services/"+i.Service)
	}
}

// find keeps one copy of each message: a file may have 530,000 lines with the same fault.
func (u *Upload) find(at int, message string) {
	if len(message) > maxMessage {
		message = strings.ToValidUTF8(message[:maxMessage], "") + "..."
	}
	if m, ok := u.messages[message]; ok {
		message = m
	} else if len(u.messages) < maxMessages {
		u.messages[message] = message
	}
	u.findings = append(u.findings, Finding{Line: at, message: message})
}

// flush stores the chunk that was collected.
func (u *Upload) flush(ctx context.Context) error {
	if u.lines == 0 || u.DigestOnly {
		return nil
	}
	data, err := objects.Compress(u.chunk.Bytes())
	if err != nil {
		return Error.Wrap(err)
	}
	n, err := objects.WritePieces(ctx, u.Store, DataPrefix(u.Meta.ID), u.pieces, data)
	if err != nil {
		return err
	}
	u.Meta.Chunks = append(u.Meta.Chunks, Chunk{Lines: u.lines, Bytes: u.chunk.Len(), First: u.pieces, Pieces: n})
	u.pieces += n
	u.lines = 0
	u.chunk.Reset()
	return nil
}

// findDuplicates reports each line whose custom_id an earlier line has.
func (u *Upload) findDuplicates() {
	slices.SortFunc(u.ids, func(a, b lineID) int {
		return cmp.Or(cmp.Compare(a.hash.Hi, b.hash.Hi), cmp.Compare(a.hash.Lo, b.hash.Lo), cmp.Compare(a.line, b.line))
	})
	for i := 1; i < len(u.ids); i++ {
		if u.ids[i].hash == u.ids[i-1].hash {
			u.findings = append(u.findings, Finding{Line: u.ids[i].line, sameAs: u.ids[i-1].line})
		}
	}
	u.ids = nil
}

// mark notes that an upload is in progress, so that its chunks are collected if it never ends.
func (u *Upload) mark(ctx context.Context) error {
	_, err := objects.Create(ctx, u.Store, UploadPrefix+u.Meta.ID, []byte(time.Now().UTC().Format(time.RFC3339)))
	return err
}

// Settle removes the mark of an upload whose record was created, or all of an upload that was refused.
func Settle(ctx context.Context, s store.Store, id string, accepted bool) error {
	if !accepted {
		if err := objects.Delete(ctx, s, MetaKey(id)); err != nil {
			return err
		}
		// Chunks are written one after the other, so the first absent piece is the end; a write whose answer
		// was lost may leave one gap.
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
