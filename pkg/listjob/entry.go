package listjob

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"strings"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/jsontext"
)

// entry is one object of the result log.
type entry struct {
	// Node and Nonce make the entries of two writers differ, which shows whose create succeeded.
	Node    string   `json:"node"`
	Nonce   int64    `json:"nonce"`
	Results []Result `json:"results"`
}

// splitEntry is an entry of one result that fits into no value of the store. Its text lies in pieces, which are stored before
// it and whose keys contain Nonce. Builds that know no pieces can't decode it: the log is unavailable to them, rather than
// one with an empty text.
type splitEntry struct {
	Node   string      `json:"node"`
	Nonce  int64       `json:"nonce"`
	Result splitResult `json:"results"`
}

// splitResult is a result whose text lies in pieces.
type splitResult struct {
	ID     string `json:"id"`
	State  State  `json:"state"`
	Pieces int    `json:"pieces"`
}

func entryKey(id string, number int) string { return fmt.Sprintf("%s%s/%06d", resultsKind, id, number) }

// pieceSeparator begins the part of a piece's key that follows the key of its entry.
const pieceSeparator = "."

func pieceKey(id string, number int, nonce int64, piece int) string {
	return fmt.Sprintf("%s%s%016x%s%04d", entryKey(id, number), pieceSeparator, uint64(nonce), pieceSeparator, piece)
}

// encodeEntry returns the value of an entry, and the pieces that must be stored before it, for a store that accepts values of
// limit bytes.
func encodeEntry(e entry, incarnation int64, limit int) (value []byte, nonce int64, pieces [][]byte, err error) {
	if len(e.Results) != 1 || entryOverhead+e.Results[0].encodedLen() <= limit {
		value, err = jsontext.Marshal(e)
		return value, e.Nonce, nil, err
	}
	r := e.Results[0]
	for _, part := range jsontext.SplitString(r.Text, limit) {
		piece, err := jsontext.Marshal(part)
		if err != nil {
			return nil, 0, nil, err
		}
		pieces = append(pieces, piece)
	}
	// Repeated attempts of a process use the same keys.
	hash := fnv.New64a()
	fmt.Fprintln(hash, e.Node, incarnation, r.ID, limit)
	nonce = int64(hash.Sum64())
	value, err = jsontext.Marshal(splitEntry{e.Node, nonce, splitResult{r.ID, r.State, len(pieces)}})
	return value, nonce, pieces, err
}

// decodeEntry returns the results of the entry with the given number; read returns the value of a piece.
func decodeEntry(id string, number int, value []byte, read func(key string) ([]byte, error)) ([]Result, error) {
	var raw struct {
		Nonce   int64           `json:"nonce"`
		Results json.RawMessage `json:"results"`
	}
	if err := json.Unmarshal(value, &raw); err != nil {
		return nil, Error.Wrap(err)
	}
	if !bytes.HasPrefix(raw.Results, []byte("{")) {
		var results []Result
		if err := json.Unmarshal(raw.Results, &results); err != nil {
			return nil, Error.Wrap(err)
		}
		return results, nil
	}
	var split splitResult
	if err := json.Unmarshal(raw.Results, &split); err != nil {
		return nil, Error.Wrap(err)
	}
	var text strings.Builder
	for n := range split.Pieces {
		piece, err := read(pieceKey(id, number, raw.Nonce, n))
		if err != nil {
			return nil, err
		}
		var part string
		if err := json.Unmarshal(piece, &part); err != nil {
			return nil, Error.Wrap(err)
		}
		text.WriteString(part)
	}
	return []Result{{ID: split.ID, State: split.State, Text: text.String()}}, nil
}

// writeEntry creates a log entry, or adopts the entry that another node created under the same number.
func (c *Controller) writeEntry(j *job, number int, e entry) error {
	id, limit := j.head.ID, int(c.entryLimit.Load())
	value, nonce, pieces, err := encodeEntry(e, c.self().Incarnation, limit)
	if err != nil {
		return Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), adoptTimeout)
	defer cancel()
	for n, piece := range pieces {
		if _, err := c.options.Store.Put(ctx, pieceKey(id, number, nonce, n), piece, store.CreateOnly); err != nil && !isConflict(err) {
			return err
		}
	}
	_, err = c.options.Store.Put(ctx, entryKey(id, number), value, store.CreateOnly)
	if errors.Is(err, store.ErrTooLarge) {
		return err
	}
	if err != nil {
		results, readErr := c.readEntry(ctx, id, number)
		if readErr != nil {
			return errors.Join(err, readErr)
		}
		e.Results = results
		// Another node writes this job's log, unless an earlier attempt of this one was carried out.
		go c.compareWithHead(context.Background(), id)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.nextEntry == number {
		j.nextEntry++
		j.appendEntry(e.Results)
	}
	return nil
}

// readEntry returns the results of one entry.
func (c *Controller) readEntry(ctx context.Context, id string, number int) ([]Result, error) {
	read := func(key string) ([]byte, error) {
		o, err := c.options.Store.Get(store.WithFresh(ctx), key)
		return o.Value, err
	}
	value, err := read(entryKey(id, number))
	if err != nil {
		return nil, err
	}
	return decodeEntry(id, number, value, read)
}

// readLog returns all listed results and the number of the next log entry.
func (c *Controller) readLog(ctx context.Context, id string) ([]Result, int, error) {
	entries, err := c.readEntries(ctx, id)
	var results []Result
	for _, e := range entries {
		results = append(results, e...)
	}
	return results, len(entries), err
}

// readEntries returns the entries of a job's log in order.
func (c *Controller) readEntries(ctx context.Context, id string) ([][]Result, error) {
	log, err := store.ListAll(store.WithFresh(ctx), c.options.Store, resultsKind+id+"/")
	if err != nil {
		return nil, errors.Join(ErrUnavailable, err)
	}
	pieces := map[string][]byte{}
	var values [][]byte
	for _, o := range log.Objects {
		if strings.Contains(strings.TrimPrefix(o.Key, resultsKind+id+"/"), pieceSeparator) {
			pieces[o.Key] = o.Value
			continue
		}
		if o.Key != entryKey(id, len(values)) {
			return nil, errors.Join(ErrUnavailable, Error.New("entry %d of job %s lies at %q", len(values), id, o.Key))
		}
		values = append(values, o.Value)
	}
	read := func(key string) ([]byte, error) {
		if piece, ok := pieces[key]; ok {
			return piece, nil
		}
		return nil, Error.New("piece %q is missing", key)
	}
	var entries [][]Result
	for n, value := range values {
		results, err := decodeEntry(id, n, value, read)
		if err != nil {
			return nil, errors.Join(ErrUnavailable, err)
		}
		entries = append(entries, results)
	}
	return entries, nil
}
