package listjob

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"

	"trefoilplank.example/pkg/jsontext"
)

func chunkKey(id string, number int) string { return fmt.Sprintf("%s%s.%03d", itemsKind, id, number) }

// maxChunkBytes limits the bodies in one chunk: base64 makes them a third longer, and the store limits a value to 1
// MiB.
const maxChunkBytes = 600 << 10

// chunks splits the items so that each chunk fits into a value of the store, unless its paths and headers take much more when
// they are encoded, or a single item does. All builds split a job alike: chunks that one node stored are not written again by
// another.
func chunks(items []Item) [][]Item {
	var out [][]Item
	size := 0
	for _, it := range items {
		n := len(it.Body) + len(it.Path) + 200
		for name, value := range it.Header {
			n += len(name) + len(value)
		}
		if len(out) == 0 || size+n > maxChunkBytes {
			out, size = append(out, nil), 0
		}
		out[len(out)-1] = append(out[len(out)-1], it)
		size += n
	}
	return out
}

// bodyPart is a chunk that continues the body of the last item of the chunk before. Builds that know no such chunks can't decode
// it, and leave the job to others.
type bodyPart struct {
	ID   string `json:"id"`
	Body []byte `json:"body"`
}

// itemOverheadBytes is the size of an encoded item without its texts: the names of the fields, the count of tokens and the
// punctuation. headerOverheadBytes is that of a header.
const itemOverheadBytes, headerOverheadBytes = 80, 2

// encodedLenWithoutBody returns the size of an item in a chunk without its body, or a little more.
func (it *Item) encodedLenWithoutBody() int {
	n := jsontext.StringLen(it.ID) + jsontext.StringLen(it.Path) + itemOverheadBytes
	for name, value := range it.Header {
		n += jsontext.StringLen(name) + jsontext.StringLen(value) + headerOverheadBytes
	}
	return n
}

// encodeChunks returns the values in which the items of a job are stored. The error is ErrItemTooLarge if that of an item
// without its body exceeds a value of the store.
func encodeChunks(items []Item) (values [][]byte, err error) {
	for _, chunk := range chunks(items) {
		value, err := jsontext.Marshal(chunk)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if len(value) <= maxEntryBytes {
			values = append(values, value)
			continue
		}
		smaller, err := encodeSmallerChunks(chunk)
		if err != nil {
			return nil, err
		}
		values = append(values, smaller...)
	}
	return values, nil
}

// encodeSmallerChunks encodes items that don't fit into one value as several.
func encodeSmallerChunks(items []Item) (values [][]byte, err error) {
	add := func(v any) {
		value, encodeErr := jsontext.Marshal(v)
		if encodeErr != nil {
			err = Error.Wrap(encodeErr)
		}
		values = append(values, value)
	}
	var chunk []Item
	size := 0
	flush := func() {
		if len(chunk) > 0 {
			add(chunk)
		}
		chunk, size = nil, 0
	}
	for _, it := range items {
		own := it.encodedLenWithoutBody()
		if own > maxEntryBytes/2 {
			return nil, ErrItemTooLarge
		}
		if size+own+jsontext.BytesLen(it.Body) > maxEntryBytes {
			flush()
		}
		// What remains of the value takes the beginning of the body.
		rest := it.Body[min(len(it.Body), base64.StdEncoding.DecodedLen(maxEntryBytes-own)):]
		it.Body = it.Body[:len(it.Body)-len(rest)]
		chunk, size = append(chunk, it), size+own+jsontext.BytesLen(it.Body)
		for len(rest) > 0 {
			flush()
			n := min(len(rest), base64.StdEncoding.DecodedLen(maxEntryBytes/2))
			add(bodyPart{it.ID, rest[:n]})
			rest = rest[n:]
		}
	}
	flush()
	return values, err
}

// appendChunk appends the items of a stored chunk to those of the chunks before.
func appendChunk(items []Item, value []byte) ([]Item, error) {
	if !bytes.HasPrefix(bytes.TrimLeft(value, " \t\r\n"), []byte("{")) {
		var chunk []Item
		if err := json.Unmarshal(value, &chunk); err != nil {
			return nil, Error.Wrap(err)
		}
		return append(items, chunk...), nil
	}
	var part bodyPart
	if err := json.Unmarshal(value, &part); err != nil {
		return nil, Error.Wrap(err)
	}
	if len(items) == 0 || items[len(items)-1].ID != part.ID {
		return nil, Error.New("body of item %q has no beginning", part.ID)
	}
	last := &items[len(items)-1]
	last.Body = append(last.Body, part.Body...)
	return items, nil
}
