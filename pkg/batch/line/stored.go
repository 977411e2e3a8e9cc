package line

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Marks at the start of a stored line, which say whether it belongs in the output or the error file.
const (
	markOutput = '+'
	markError  = '-'
)

// AppendStored appends the stored form of o to dst: a mark for the file that the line belongs in, the line, and a line end.
func AppendStored(dst []byte, o *Output) ([]byte, error) {
	text, err := json.Marshal(o)
	if err != nil {
		return dst, err
	}
	mark := byte(markError)
	if o.OK() {
		mark = markOutput
	}
	dst = append(dst, mark)
	dst = append(dst, text...)
	return append(dst, '\n'), nil
}

// SelectStored calls emit with each line of stored data that belongs in the error file (errorFile is true) or the output
// file (false). The lines passed have a line end and no mark.
func SelectStored(stored []byte, errorFile bool, emit func([]byte) error) error {
	for len(stored) > 0 {
		end := bytes.IndexByte(stored, '\n')
		if end < 1 || stored[0] != markOutput && stored[0] != markError {
			return fmt.Errorf("stored output line has no line end or does not start with '+' or '-'")
		}
		if (stored[0] == markError) == errorFile {
			if err := emit(stored[1 : end+1]); err != nil {
				return err
			}
		}
		stored = stored[end+1:]
	}
	return nil
}

// CopyStored writes to w the lines of stored data that SelectStored would pass. It holds no line in memory, whatever its length.
func CopyStored(w io.Writer, stored io.Reader, errorFile bool) error {
	r := bufio.NewReader(stored)
	for {
		mark, err := r.ReadByte()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case mark != markOutput && mark != markError:
			return fmt.Errorf("stored output line does not start with '+' or '-'")
		}
		if err := copyLine(w, r, (mark == markError) == errorFile); err != nil {
			return err
		}
	}
}

// copyLine reads up to the end of a line and writes what it reads to w if wanted is set.
func copyLine(w io.Writer, r *bufio.Reader, wanted bool) error {
	for {
		text, err := r.ReadSlice('\n')
		if wanted {
			if _, err := w.Write(text); err != nil {
				return err
			}
		}
		switch {
		case err == nil:
			return nil
		case errors.Is(err, io.EOF):
			return fmt.Errorf("stored output line has no line end")
		case !errors.Is(err, bufio.ErrBufferFull):
			return err
		}
	}
}

// OutputID returns the id of the output line of item n (from 0) of a job.
func OutputID(job string, n int) string {
	return fmt.Sprintf("batch_req_%s_%d", strings.TrimPrefix(job, "batch_"), n)
}
