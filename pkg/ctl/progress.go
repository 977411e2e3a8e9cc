package ctl

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/schollz/progressbar/v3"
)

// progress shows a progress bar. A nil or zero progress shows nothing.
type progress struct{ bar *progressbar.ProgressBar }

// newProgress returns a bar up to total, or a spinner if total is -1. It shows nothing unless standard error is a
// terminal.
func (a *app) newProgress(total int64, what string) *progress {
	if !isTerminal(a.stderr) {
		return &progress{}
	}
	return &progress{progressbar.NewOptions64(total, progressbar.OptionSetWriter(a.stderr),
		progressbar.OptionSetDescription(what), progressbar.OptionShowCount(), progressbar.OptionClearOnFinish())}
}

// Write advances the bar by the length of b, so that progress can be passed to an io.TeeReader or io.MultiWriter.
func (p *progress) Write(b []byte) (int, error) {
	if p != nil && p.bar != nil {
		_ = p.bar.Add(len(b))
	}
	return len(b), nil
}

// set moves the bar to n of its total.
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

// transfer sends a request with a large body or a large answer to the callers' listener, without --timeout. The
// answer is copied to out, or returned if out is nil. An answer with a status other than 2xx is always returned.
func (a *app) transfer(c call, in io.Reader, out io.Writer) ([]byte, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	resp, err := a.sendRequest(ctx, a.CallerServer, a.CallerKey, c, in)
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
		return nil, errors.Join(fmt.Errorf("copying the node's answer: %w", err))
	}
	return buffer.Bytes(), nil
}
