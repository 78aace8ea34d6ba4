package upstream

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

const (
	// bytesPerToken and tokensPerMessage define the stand-in's tokenizer. A
	// prompt has at most as many tokens as bytes, plus 16 for each message,
	// which is the upper bound that the fleet reserves.
	bytesPerToken    = 4
	tokensPerMessage = 4
	// defaultMaxTokens bounds an answer when the request sets no maximum.
	defaultMaxTokens = 16
)

// vocabulary lists the tokens of generated text. Some need escapes in JSON, to
// cover all paths of a decoder.
var vocabulary = [...]string{
	" card", " mint", " foil", " lot", " price", " near", " set", " ham",
	" order", " pickup", " list", " worn", " \"as is\"", "\n", " šunka", " colección",
}

// prompt is the input that alone determines the generated text.
type prompt struct {
	digest uint64
	// text is the model and all messages with their roles, for the prefix cache.
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

// length returns the number of tokens of the answer, between half of maxTokens
// and all of it, and the finish reason.
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

// tokenAt returns the token at a position, counted from 1.
func (p *prompt) tokenAt(position int64) string {
	mixed := (p.digest + uint64(position)) * 0x9E3779B97F4A7C15 // Fibonacci hashing spreads adjacent positions
	return vocabulary[mixed>>60]
}

// textUpTo returns the text of the tokens from position 1 to last.
func (p *prompt) textUpTo(last int64) string {
	var text strings.Builder
	for position := int64(1); position <= last; position++ {
		text.WriteString(p.tokenAt(position))
	}
	return text.String()
}

// ExpectedAnswer returns the complete answer that every engine gives to a prompt.
func ExpectedAnswer(model core.ModelName, messages []core.Message, maxTokens core.Tokens) core.CompletionAnswer {
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
