package confchain

import (
	"encoding/json"
	"fmt"

	"github.com/klauspost/compress/zstd"

	"trefoilplank.example/api"
)

const (
	// ChunkBytes is the maximum size of a chunk; the store accepts values up to 1 MB.
	ChunkBytes = 900 << 10
	// MaxPayloadBytes is the maximum size of a payload before compression. A fleet of the size planned for two years
	// ahead needs about 0.6 MB.
	MaxPayloadBytes = 32 << 20
	// maxChunks is the number of chunks of an incompressible payload of MaxPayloadBytes.
	maxChunks = MaxPayloadBytes/ChunkBytes + 2
	// deltaDictionaryID is the zstd dictionary ID of a delta.
	deltaDictionaryID = 1
)

// Payload is a configuration in serialized form. All nodes hold the same bytes, so that digests and deltas match.
type Payload struct {
	Version int64
	JSON    []byte
}

// EncodePayload serializes a configuration.
func EncodePayload(c api.Config) (Payload, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return Payload{}, Error.Wrap(err)
	}
	if len(b) > MaxPayloadBytes {
		return Payload{}, Error.New("the configuration has %d bytes, more than %d", len(b), MaxPayloadBytes)
	}
	return Payload{Version: c.Version, JSON: b}, nil
}

// Config parses the payload.
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

// Verify checks that the payload has the version and digest of the entry.
func (p Payload) Verify(e Entry) error {
	if p.Version != e.Version || Digest(p.JSON) != e.Digest {
		return Error.New("the payload of version %d does not match its digest", e.Version)
	}
	return nil
}

// Compress returns the payload compressed with zstd.
func (p Payload) Compress() ([]byte, error) {
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer w.Close()
	return w.EncodeAll(p.JSON, nil), nil
}

// Decompress restores a payload from the result of Compress.
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

// Delta returns the payload compressed with the JSON of base as dictionary. It is small if the two differ little.
func (p Payload) Delta(base Payload) ([]byte, error) {
	window := zstd.MinWindowSize
	for window < len(base.JSON)+len(p.JSON) && window < zstd.MaxWindowSize {
		window *= 2
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(window),
		zstd.WithEncoderLevel(zstd.SpeedBetterCompression), zstd.WithEncoderDictRaw(deltaDictionaryID, base.JSON))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer w.Close()
	return w.EncodeAll(p.JSON, nil), nil
}

// ApplyDelta restores a payload from base and the result of Delta.
func ApplyDelta(base Payload, version int64, delta []byte) (Payload, error) {
	return decompress(version, delta, zstd.WithDecoderDictRaw(deltaDictionaryID, base.JSON))
}

// SplitChunks splits compressed data into chunks of at most ChunkBytes.
func SplitChunks(data []byte) [][]byte {
	var chunks [][]byte
	for len(data) > ChunkBytes {
		chunks = append(chunks, data[:ChunkBytes])
		data = data[ChunkBytes:]
	}
	return append(chunks, data)
}

// ChunkPrefix returns the key prefix of the chunks of one attempt. The version is zero-padded, so keys sort by it.
func ChunkPrefix(version int64, attempt string) string {
	return fmt.Sprintf("%s%016d-%s/", ChunkKeyPrefix, version, attempt)
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
	if _, err := fmt.Sscanf(key, ChunkKeyPrefix+"%016d-", &v); err != nil {
		return 0, false
	}
	return v, true
}
