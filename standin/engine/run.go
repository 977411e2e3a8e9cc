package engine

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"crypto/sha256"

	"trefoilplank.example/pkg/gateway/prompt"
)

// resumeWindow is how long the stream of a run can be resumed after the run's end, and how long a streamed run without a
// reader continues before it is cancelled.
const resumeWindow = 5 * time.Second

// charsPerToken is the number of characters counted as one prompt token.
const charsPerToken = 4

// blockTokens is the number of prompt tokens in one block of the prefix cache. Blocks and their hashes are the ones that
// nodes compute; the adapter of a real engine would map the engine's cache events to them.
const blockTokens = prompt.BlockBytes / charsPerToken

// runState is the stage of a run's life.
type runState int

const (
	stateWaiting runState = iota
	stateRunning
	stateDone
	stateCancelled
	stateCrashed
)

// run is the processing of one request, a sequence of tokens. The fields from updated on are guarded by Engine.mu.
type run struct {
	// id is the request ID that the node sent.
	id      string
	request *http.Request
	body    []byte
	model   string
	// chat is set for a chat completion, as opposed to a text completion.
	chat         bool
	promptTokens int
	// blocks holds the hashes of the prompt's blocks in the prefix cache.
	blocks []uint64
	// output holds all tokens of the answer; those before index generated may be sent.
	output []string
	// created is the Unix time in all events of the run; it is fixed, so that a resumed stream repeats the earlier events.
	created int64

	// updated is closed and replaced at each change of state or generated.
	updated chan struct{}
	// executionRow is the run's row in Engine.executions, or -1 before the run is started.
	executionRow int
	state        runState
	generated    int
	// readers is the number of connections on which the answer is being sent.
	readers int
	// kvImported is set when the run continues an exported one, whose KV needs no prefill.
	kvImported bool
}

// kvTokens returns the KV tokens that the run occupies.
func (r *run) kvTokens() int { return r.promptTokens + r.generated }

// notify wakes all readers of the run; Engine.mu is held.
func (r *run) notify() {
	close(r.updated)
	r.updated = make(chan struct{})
}

// completionRequest holds the fields of a chat or text completion request that the stand-in uses.
type completionRequest struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	// IgnoreEOS asks for exactly max_tokens or max_completion_tokens tokens.
	IgnoreEOS bool `json:"ignore_eos"`
}

// vocabulary holds the words of generated text.
var vocabulary = strings.Fields(`the letter confirms that employment began in spring and ended with good conduct
work title composer share right matched entry broadcast minute draft statement line register total due period`)

// newRun returns the run of a request. Its output depends only on the model, the prompt, the token limit and ignore_eos.
func newRun(id string, request *http.Request, body []byte, c completionRequest, chat bool) *run {
	promptText := c.Prompt
	if chat {
		promptText = c.Messages
	}
	maxTokens := c.MaxTokens
	if maxTokens == 0 {
		maxTokens = c.MaxCompletionTokens
	}
	r := &run{
		id: id, request: request, body: body, model: c.Model, chat: chat, executionRow: -1,
		created:      time.Now().Unix(),
		promptTokens: max(1, len(promptText)/charsPerToken), updated: make(chan struct{}),
	}
	if parsed, err := prompt.Parse(body, chat); err == nil {
		r.promptTokens, r.blocks = parsed.PromptTokens, parsed.PrefixHashes(c.Model, "")
	}
	r.output = generate(c.Model, promptText, maxTokens, c.IgnoreEOS)
	return r
}

// generate returns the tokens of the answer, each with a trailing space. The first token is a digest of model and prompt.
// Without ignoreEOS the answer has 16 to 48 tokens, or maxTokens if that is less.
func generate(model string, promptText []byte, maxTokens int, ignoreEOS bool) []string {
	digest := sha256.Sum256(append([]byte(model+"\x00"), promptText...))
	rng := rand.New(rand.NewPCG(binary.BigEndian.Uint64(digest[:8]), binary.BigEndian.Uint64(digest[8:16])))
	length := 16 + rng.IntN(33)
	if maxTokens > 0 && (ignoreEOS || maxTokens < length) {
		length = maxTokens
	}
	tokens := []string{fmt.Sprintf("[%x] ", digest[:4])}
	for len(tokens) < length {
		tokens = append(tokens, vocabulary[rng.IntN(len(vocabulary))]+" ")
	}
	return tokens
}
