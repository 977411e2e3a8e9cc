package prompt

import (
	"bytes"
	"strconv"

	"github.com/zeebo/xxh3"

	"trefoilplank.example/pkg/decision/failedruns"
)

const (
	// maxParts limits the parts of a prompt.
	maxParts = 64
	// minPartBytes is the least size of a part, but for the last one. Parts end at a line break or after one of
	// wordsPerPart words on average, and at the latest at maxPartFactor times the least size. In long prompts all sizes are
	// multiples.
	minPartBytes, wordsPerPart, maxPartFactor = 24, 4, 16
	// usualPartBytes is the size of the parts that result from these, by which the multiple is chosen.
	usualPartBytes = 48
)

// Parts returns the parts of the prompt that other prompts for the same model and adapter may share. The text itself
// determines where parts end, so that equal blocks of text have equal parts, whatever stands before or after them.
func (b *Body) Parts(model, adapter string) []string {
	scale := 1
	for len(b.text)/(scale*usualPartBytes) > maxParts {
		scale *= 2
	}
	var parts []string
	seen := map[uint64]bool{}
	for rest := b.text; len(rest) > 0 && len(parts) < maxParts; {
		n := partLength(rest, scale)
		if hash := xxh3.Hash(rest[:n]); !seen[hash] {
			seen[hash] = true
			parts = append(parts, failedruns.PartWork(model+"\x00"+adapter, strconv.FormatUint(hash, 16)))
		}
		rest = rest[n:]
	}
	return parts
}

// partLength returns the length of the part with which the text begins.
func partLength(text []byte, scale int) int {
	least, most := scale*minPartBytes, scale*minPartBytes*maxPartFactor
	for end, word := 0, 0; end < min(len(text), most); word = end {
		n := bytes.IndexAny(text[end:], " \n")
		if n < 0 {
			break
		}
		end += n + 1
		last := text[end-1] == '\n' || xxh3.Hash(text[word:end])%uint64(scale*wordsPerPart) == 0
		if last && end >= least {
			return min(end, most)
		}
	}
	return min(len(text), most)
}
