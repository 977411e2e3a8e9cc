package confchain

import (
	"encoding/json"
	"fmt"

	"github.com/klauspost/compress/zstd"

	"trefoilplank.example/api"
)

const (
	// ChunkBytes is the largest chunk; the store takes values up to 1 MB.
	ChunkBytes = 900 << 10
	// MaxPayloadBytes bounds a payload before compression. The two-year target needs about 0.6 MB.
	MaxPayloadBytes = 32 << 20
	// maxChunks is what an incompressible payload of that size takes.
	maxChunks = MaxPayloadBytes/ChunkBytes + 2
	// deltaID is the dictionary id that marks a delta.
	deltaID = 1
)

// Payload is the serialized form of a configuration: the same bytes on all nodes.
type Payload struct {
	Version int64
	JSON    []byte
}

// Encode serializes a configuration.
func Encode(c api.Config) (Payload, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return Payload{}, Error.Wrap(err)
	}
	if len(b) > MaxPayloadBytes {
		return Payload{}, Error.New("the configuration has %d bytes, more than %d", len(b), MaxPayloadBytes)
	}
	return Payload{Version: c.Version, JSON: b}, nil
}

// Config returns the configuration.
func (p Payload) Config() (api.Config, error) {
	var c api.Config
	if err := json.Unmarshal(p.JSON, &c); err != nil {
		return api.Config{}, Error.Wrap(err)
	}
	if c.Version != p.Version {
		return api.Config{}, Error.New("the payload of version %d holds version %d", p.Version, c.Version)
	}
	return c, nil
}

// Verify checks a payload against the entry that names it.
func (p Payload) Verify(e Entry) error {
	if p.Version != e.Version || Digest(p.JSON) != e.Digest {
		return Error.New("the payload of version %d does not match its digest", e.Version)
	}
	return nil
}

// Compress returns the payload in compressed form.
func (p Payload) Compress() ([]byte, error) {
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer w.Close()
	return w.EncodeAll(p.JSON, nil), nil
}

// Decompress reverses Compress.
func Decompress(version int64, data []byte) (Payload, error) { return decompress(version, data) }

func decompress(version int64, data []byte, options ...zstd.DOption) (Payload, error) {
	options = append(options, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(2*MaxPayloadBytes))
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return Payload{}, Error.Wrap(err)
	}
	defer r.Close()
	b, err := r.DecodeAll(data, nil)
	if err != nil {
		return Payload{}, Error.Wrap(err)
	}
	return Payload{Version: version, JSON: b}, nil
}

// Delta returns the payload compressed against an earlier one. Versions differ little, so it is small.
func (p Payload) Delta(base Payload) ([]byte, error) {
	window := zstd.MinWindowSize
	for window < len(base.JSON)+len(p.JSON) && window < zstd.MaxWindowSize {
		window *= 2
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(window),
		zstd.WithEncoderLevel(zstd.SpeedBetterCompression), zstd.WithEncoderDictRaw(deltaID, base.JSON))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer w.Close()
	return w.EncodeAll(p.JSON, nil), nil
}

// ApplyDelta reverses Delta.
func ApplyDelta(base Payload, version int64, delta []byte) (Payload, error) {
	return decompress(version, delta, zstd.WithDecoderDictRaw(deltaID, base.JSON))
}

// Split cuts compressed data into chunks.
func Split(data []byte) [][]byte {
	var chunks [][]byte
	for len(data) > ChunkBytes {
		chunks = append(chunks, data[:ChunkBytes])
		data = data[ChunkBytes:]
	}
	return append(chunks, data)
}

// ChunkPrefix is the key prefix of the chunks of one attempt. Versions sort in order.
func ChunkPrefix(version int64, attempt string) string {
	return fmt.Sprintf("%s%016d-%s/", DataPrefix, version, attempt)
}

// ChunkKeys returns the keys of the chunks of an entry.
func (e Entry) ChunkKeys() ([]string, error) {
	if e.Chunks <= 0 || e.Chunks > maxChunks {
		return nil, Error.New("version %d has %d chunks", e.Version, e.Chunks)
	}
	keys := make([]string, e.Chunks)
	for i := range keys {
		keys[i] = fmt.Sprintf("%s%04d", ChunkPrefix(e.Version, e.Attempt), i)
	}
	return keys, nil
}

// ChunkVersion returns the version that a chunk key belongs to.
func ChunkVersion(key string) (int64, bool) {
	var v int64
	if _, err := fmt.Sscanf(key, DataPrefix+"%016d-", &v); err != nil {
		return 0, false
	}
	return v, true
}
