package dev

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"
)

// startFleet starts a development fleet on free ports.
func startFleet(t *testing.T) *Fleet {
	f, err := Start(Options{Nodes: 3, Seed: 1})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, f.Close()) })
	return f
}

// newOpenAIClient returns an OpenAI client that calls one node and does not retry.
func newOpenAIClient(f *Fleet, node int, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+f.Ready.Nodes[node].Address+"/v1"), option.WithAPIKey(key),
		option.WithMaxRetries(0))
}

// chatParams returns a chat completion request for at most 8 tokens.
func chatParams(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: "reference-summary", MaxTokens: openai.Int(8), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

// Guards against answers of the caller interface that the official OpenAI client rejects or decodes wrongly: models, plain
// and streamed completions, batches and errors.
func TestOpenAIClient(t *testing.T) {
	f := startFleet(t)
	client := newOpenAIClient(f, 0, f.Ready.Keys["board"])
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	t.Run("models", func(t *testing.T) {
		models, err := client.Models.List(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(models.Data), 1)
		assert.Equal(t, models.Data[0].ID, "reference-summary")
		assert.Assert(t, models.Data[0].JSON.Created.Valid(), "created is a required field")
		one, err := client.Models.Get(ctx, "reference-summary")
		assert.NilError(t, err)
		assert.Equal(t, one.ID, "reference-summary")
	})
	t.Run("completions", func(t *testing.T) { checkCompletions(t, ctx, client) })
	t.Run("batch", func(t *testing.T) { checkBatch(t, ctx, client) })
	t.Run("errors", func(t *testing.T) { checkErrors(t, ctx, f) })
}

// checkCompletions checks an unstreamed, a streamed and a legacy text completion.
func checkCompletions(t *testing.T, ctx context.Context, client openai.Client) {
	unstreamed, err := client.Chat.Completions.New(ctx, chatParams("letter"))
	assert.NilError(t, err)
	assert.Equal(t, unstreamed.Choices[0].FinishReason, "stop")
	assert.Equal(t, unstreamed.Usage.CompletionTokens, int64(8))
	var collected openai.ChatCompletionAccumulator
	stream := client.Chat.Completions.NewStreaming(ctx, chatParams("letter"))
	for stream.Next() {
		assert.Assert(t, collected.AddChunk(stream.Current()), "a chunk does not belong to the same completion as the chunks before it")
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, collected.Choices[0].Message.Content, unstreamed.Choices[0].Message.Content)
	legacy, err := client.Completions.New(ctx, openai.CompletionNewParams{
		Model: "reference-summary", MaxTokens: openai.Int(4), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("letter")},
	})
	assert.NilError(t, err)
	assert.Assert(t, legacy.Choices[0].Text != "")
}

// batchInput returns an input file with the given number of items.
func batchInput(items int) io.Reader {
	var lines strings.Builder
	for i := range items {
		fmt.Fprintf(&lines, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"reference-summary","max_tokens":64,"messages":[{"role":"user","content":"dossier %d"}]}}`+"\n", i, i)
	}
	return openai.File(strings.NewReader(lines.String()), "lot.jsonl", "application/jsonl")
}

// createBatch uploads an input file and creates a batch on it.
func createBatch(t *testing.T, ctx context.Context, client openai.Client, items int) *openai.Batch {
	file, err := client.Files.New(ctx, openai.FileNewParams{File: batchInput(items), Purpose: openai.FilePurposeBatch})
	assert.NilError(t, err)
	batch, err := client.Batches.New(ctx, openai.BatchNewParams{
		InputFileID: file.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h, Metadata: map[string]string{"lot": "1"},
	})
	assert.NilError(t, err)
	return batch
}

// checkBatch runs a batch to its end, reads its output, cancels another batch and lists both, one on each page.
func checkBatch(t *testing.T, ctx context.Context, client openai.Client) {
	const items = 5
	batch := createBatch(t, ctx, client, items)
	id := batch.ID
	for batch.Status != openai.BatchStatusCompleted {
		assert.Assert(t, batch.Status == openai.BatchStatusInProgress || batch.Status == openai.BatchStatusFinalizing, string(batch.Status))
		time.Sleep(pollInterval)
		var err error
		batch, err = client.Batches.Get(ctx, id)
		assert.NilError(t, err)
	}
	assert.Equal(t, batch.RequestCounts.Completed, int64(items))
	content, err := client.Files.Content(ctx, batch.OutputFileID)
	assert.NilError(t, err)
	defer content.Body.Close()
	seen := map[string]bool{}
	for lines := json.NewDecoder(content.Body); lines.More(); {
		var line struct {
			CustomID string `json:"custom_id"`
			Response struct {
				Body openai.ChatCompletion `json:"body"`
			} `json:"response"`
		}
		assert.NilError(t, lines.Decode(&line))
		assert.Assert(t, line.Response.Body.Choices[0].Message.Content != "")
		seen[line.CustomID] = true
	}
	assert.Equal(t, len(seen), items)
	cancelled, err := client.Batches.Cancel(ctx, createBatch(t, ctx, client, 500).ID)
	assert.NilError(t, err)
	assert.Assert(t, cancelled.Status == openai.BatchStatusCancelling || cancelled.Status == openai.BatchStatusCancelled, string(cancelled.Status))
	var listed []string
	for pages := client.Batches.ListAutoPaging(ctx, openai.BatchListParams{Limit: openai.Int(1)}); ; {
		if !pages.Next() {
			assert.NilError(t, pages.Err())
			break
		}
		listed = append(listed, pages.Current().ID)
	}
	assert.DeepEqual(t, listed, []string{cancelled.ID, id})
}

// checkErrors checks the errors that the client returns for refused requests. The rate limit comes last, since it refuses
// all later requests of the institution.
func checkErrors(t *testing.T, ctx context.Context, f *Fleet) {
	limited := f.standins.Rules
	limited.Institutions[0].Rate.RequestsPerSecond, limited.Institutions[0].Rate.Burst = 0.01, 1
	board := newOpenAIClient(f, 1, f.Ready.Keys["board"])
	chat := func(client openai.Client, model string) error {
		params := chatParams("letter")
		params.Model = model
		_, err := client.Chat.Completions.New(ctx, params)
		return err
	}
	_, notFound := board.Batches.Get(ctx, "batch_01M8YYZY4XTSDDQCXGSVRYK6FW")
	refusals := []struct {
		err    error
		status int
		code   string
	}{
		{chat(newOpenAIClient(f, 1, "unknown"), "reference-summary"), 401, "unauthorized"},
		{chat(board, "rights-tagger"), 403, "forbidden"},
		{notFound, 404, "not_found"},
		{func() error {
			applyRules(t, f, limited)
			var err error
			for err == nil && ctx.Err() == nil {
				err = chat(board, "reference-summary")
			}
			return err
		}(), 429, "rate_limited"},
	}
	for _, refusal := range refusals {
		var e *openai.Error
		assert.Assert(t, errors.As(refusal.err, &e), "%v", refusal.err)
		assert.Equal(t, e.StatusCode, refusal.status)
		assert.Equal(t, e.Code, refusal.code)
		assert.Assert(t, e.Message != "")
		assert.Equal(t, e.Response.Header.Get("Trefoil-Outcome"), "not-run")
	}
}

// applyRules applies changed rules through the operators' interface.
func applyRules(t *testing.T, f *Fleet, rules any) {
	body, err := json.Marshal(rules)
	assert.NilError(t, err)
	r, err := http.NewRequest(http.MethodPost, "http://"+f.Ready.Nodes[0].AdminAddress+"/v1/admin/apply", strings.NewReader(string(body)))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+f.Ready.OperatorKey)
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
}
