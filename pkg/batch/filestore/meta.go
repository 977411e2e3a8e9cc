// Package filestore stores files in the object store. A file has a small record (`files/meta/ID`), and an uploaded file
// also has compressed chunks of complete lines (`files/data/ID/N`). The output and error files of a job have only the
// record; their lines are read from the job's parts.
package filestore

import (
	"context"
	"encoding/json"
	"regexp"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/zeebo/errs"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/batch/objects"
)

// Error is the class of the errors of this package.
var Error = errs.Class("filestore")

// Purposes of files, with the names of the OpenAI Files API.
const (
	PurposeBatch  = "batch"
	PurposeOutput = "batch_output"
)

// Chunk describes consecutive complete lines of a file that are stored together.
type Chunk struct {
	Lines int `json:"lines"`
	// Bytes is the size before compression.
	Bytes int `json:"bytes"`
	// First is the number of the chunk's first piece below the file's data prefix, Pieces the count of its pieces.
	First  int `json:"first"`
	Pieces int `json:"pieces"`
}

// Meta is the record of a file.
type Meta struct {
	ID          string    `json:"id"`
	Institution string    `json:"institution"`
	Caller      string    `json:"caller"`
	Filename    string    `json:"filename"`
	Purpose     string    `json:"purpose"`
	Bytes       int64     `json:"bytes"`
	Lines       int       `json:"lines"`
	Created     time.Time `json:"created"`
	Expires     time.Time `json:"expires"`
	// Digest is the SHA-256 of purpose and content, in hex.
	Digest string `json:"digest,omitempty"`
	// Key is the store key of the idempotency record, or "".
	Key string `json:"key,omitempty"`
	// Models, Services and Endpoints are those named in the lines, sorted.
	Models    []string `json:"models,omitempty"`
	Services  []string `json:"services,omitempty"`
	Endpoints []string `json:"endpoints,omitempty"`
	Chunks    []Chunk  `json:"chunks,omitempty"`
	// Job and Errors are set on an output file (Errors false) or error file (Errors true) of a job.
	Job    string `json:"job,omitempty"`
	Errors bool   `json:"errors,omitempty"`
}

// ChunkLines returns the number of lines of each chunk.
func (m *Meta) ChunkLines() []int {
	n := make([]int, len(m.Chunks))
	for i, c := range m.Chunks {
		n[i] = c.Lines
	}
	return n
}

var idPattern = regexp.MustCompile(`^file-[0-9A-Z]{26}(-output|-error)?$`)

// NewID returns a new file id; ids sort by the time of their creation.
func NewID() string { return "file-" + ulid.Make().String() }

// ValidID reports whether id has the form of a file id, so that it is safe in a store key.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// MetaKey returns the store key of the file's record.
func MetaKey(id string) string { return MetaPrefix + id }

// Store prefixes. Ids sort by time, so the oldest are listed first.
const (
	MetaPrefix   = "files/meta/"
	UploadPrefix = "files/upload/"
)

// DataPrefix returns the store prefix of the file's chunks.
func DataPrefix(id string) string { return "files/data/" + id }

// Get reads a file's record; the error is store.ErrNotFound if there is none.
func Get(ctx context.Context, s store.Store, id string) (*Meta, error) {
	if !ValidID(id) {
		return nil, store.ErrNotFound
	}
	o, err := objects.Get(ctx, s, MetaKey(id))
	if err != nil {
		return nil, err
	}
	return Decode(o.Value)
}

// Decode decodes a stored record.
func Decode(value []byte) (*Meta, error) {
	var m Meta
	if err := json.Unmarshal(value, &m); err != nil {
		return nil, Error.Wrap(err)
	}
	return &m, nil
}

// Create makes a file's record durable.
func Create(ctx context.Context, s store.Store, m *Meta) error {
	value, err := json.Marshal(m)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = objects.Create(ctx, s, MetaKey(m.ID), value)
	return err
}

// ReadChunk returns the lines of a chunk, each with its line end.
func ReadChunk(ctx context.Context, s store.Store, m *Meta, chunk int) ([]byte, error) {
	if chunk < 0 || chunk >= len(m.Chunks) {
		return nil, Error.New("file %s has no chunk %d", m.ID, chunk)
	}
	c := m.Chunks[chunk]
	return objects.ReadPieces(ctx, s, DataPrefix(m.ID), c.First, c.Pieces)
}

// Remove deletes a file. The record goes last, so that retention finds the file again after an interrupted removal.
func Remove(ctx context.Context, s store.Store, m *Meta) error {
	for _, c := range m.Chunks {
		for i := range c.Pieces {
			if err := objects.Delete(ctx, s, objects.PieceKey(DataPrefix(m.ID), c.First+i)); err != nil {
				return err
			}
		}
	}
	if m.Key != "" {
		if err := objects.Delete(ctx, s, m.Key); err != nil {
			return err
		}
	}
	return objects.Delete(ctx, s, MetaKey(m.ID))
}
