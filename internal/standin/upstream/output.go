package upstream

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

const (
	// bytesPerToken and tokensPerMessage make up the stand-in's tokenizer. A
	// prompt never counts more than its bytes plus 16 a message, the bound on
	// which the fleet reserves.
	bytesPerToken    = 4
	tokensPerMessage = 4
	// defaultMaxTokens bounds an answer when the request gives no bound.
	defaultMaxTokens = 16
)

// words are the tokens of generated text. Some need escapes in JSON, so that
// every path of a decoder is used.
var words = [...]string{
	" card", " mint", " foil", " lot", " price", " near", " set", " ham",
	" order", " pickup", " list", " worn", " \"as is\"", "\n", " šunka", " colección",
}

// prompt is what the output is a function of.
type prompt struct {
	digest uint64
	// text is all messages with their roles, for the prefix cache.
	text   string
	tokens int64
}

func newPrompt(model string, messages []wire.Message) prompt {
	var text strings.Builder
	text.WriteString(model)
	tokens := int64(0)
	for _, message := range messages {
		text.WriteString("\x00" + message.Role + "\x00" + message.Content)
		tokens += tokensPerMessage + int64(len(message.Content)+bytesPerToken-1)/bytesPerToken
	}
	return prompt{digest: xxhash.Sum64String(text.String()), text: text.String(), tokens: tokens}
}

// length returns how many tokens the answer has, between half of maxTokens
// and all of it, and why it ends.
func (p *prompt) length(maxTokens int64) (tokens int64, finishReason string) {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	percent := 50 + int64(p.digest%51)
	tokens = (maxTokens*percent + 99) / 100
	if tokens < maxTokens {
		return tokens, "stop"
	}
	return tokens, "length"
}

// token returns the token at a position, from 1.
func (p *prompt) token(position int64) string {
	mixed := (p.digest + uint64(position)) * 0x9E3779B97F4A7C15 // Fibonacci hashing spreads neighbours
	return words[mixed>>60]
}

// textUpTo returns the tokens from position 1 to last.
func (p *prompt) textUpTo(last int64) string {
	var text strings.Builder
	for position := int64(1); position <= last; position++ {
		text.WriteString(p.token(position))
	}
	return text.String()
}

// Expected returns the whole answer that every engine gives to a prompt.
func Expected(model core.ModelName, messages []core.Message, maxTokens core.Tokens) core.CompletionAnswer {
	encoded := make([]wire.Message, 0, len(messages))
	for _, message := range messages {
		encoded = append(encoded, wire.Message(message))
	}
	p := newPrompt(string(model), encoded)
	length, finishReason := p.length(int64(maxTokens))
	return core.CompletionAnswer{
		Text: p.textUpTo(length), FinishReason: finishReason,
		Usage: core.Usage{Prompt: core.Tokens(p.tokens), Generated: core.Tokens(length)},
	}
}
