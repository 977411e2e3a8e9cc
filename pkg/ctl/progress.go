package ctl

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/schollz/progressbar/v3"
)

// progress shows the advance of long work on a terminal. A nil or empty progress shows nothing.
type progress struct{ bar *progressbar.ProgressBar }

// progress returns a bar up to total, or a spinner for total -1; it is silent unless standard error is a terminal.
func (a *app) progress(total int64, what string) *progress {
	if !isTerminal(a.stderr) {
		return &progress{}
	}
	return &progress{progressbar.NewOptions64(total, progressbar.OptionSetWriter(a.stderr),
		progressbar.OptionSetDescription(what), progressbar.OptionShowCount(), progressbar.OptionClearOnFinish())}
}

// Write counts the bytes of b.
func (p *progress) Write(b []byte) (int, error) {
	if p != nil && p.bar != nil {
		_ = p.bar.Add(len(b))
	}
	return len(b), nil
}

func (p *progress) set(n int64) {
	if p != nil && p.bar != nil {
		_ = p.bar.Set64(n)
	}
}

func (p *progress) finish() {
	if p != nil && p.bar != nil {
		_ = p.bar.Finish()
	}
}

// transfer makes a caller call with a long body either way, without a bound on its whole time. The answer goes to
// out, or is returned when out is nil; an answer without success is always returned.
func (a *app) transfer(c call, in io.Reader, out io.Writer) ([]byte, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	resp, err := a.open(ctx, a.CallerServer, a.CallerKey, c, in)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var buffer bytes.Buffer
	target := out
	if out == nil || resp.StatusCode/100 != 2 {
		target = &buffer
	}
	_, err = io.Copy(target, resp.Body)
	if resp.StatusCode/100 != 2 {
		return buffer.Bytes(), newRemoteError(resp.StatusCode, buffer.Bytes())
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("the answer broke off: %w", err))
	}
	return buffer.Bytes(), nil
}
