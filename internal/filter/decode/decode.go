// Package decode is the filter that decodes a request of the OpenAI-compatible
// API into a typed call. A front end with another format replaces this filter
// and keeps the rest of the pipeline.
package decode

import (
	"crypto/sha256"
	"net/http"
	"strings"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
)

const (
	// MaxBody is the largest request body in bytes. The longest prompts of
	// full appraisals are a few hundred kilobytes.
	MaxBody = 4 << 20
	// maxIdempotencyKey is the longest key in bytes. The key becomes part of a
	// row key.
	maxIdempotencyKey = 128
	// maxMessages is the largest number of messages in a prompt.
	maxMessages = 4096
)

// ClassHeader is the header that names a request's class of work.
const ClassHeader = "X-Peridotreel-Class"

// Raw is a request as the listener received it.
type Raw struct {
	Method   string
	Path     string
	Query    string
	Header   http.Header
	Body     []byte
	Received time.Time
}

// Completion decodes a chat completion.
func Completion(raw Raw) (*core.Call, error) {
	call, err := newCall(raw, core.KindCompletion)
	if err != nil {
		return nil, err
	}
	request, class, err := parseCompletion(raw.Body)
	if err != nil {
		return nil, err
	}
	call.Completion = request
	if call.Class == "" {
		call.Class = class
	}
	return call, nil
}

// Service decodes a call to the named plain service. The path is the part of
// the request's path after the name.
func Service(raw Raw, name core.ServiceName, path string) (*core.Call, error) {
	call, err := newCall(raw, core.KindService)
	if err != nil {
		return nil, err
	}
	if name == "" {
		return nil, fault.Refuse(fault.ServiceNotFound, "no service was named; use /services/NAME/PATH")
	}
	call.Service = &core.ServiceCall{
		Service: name, Method: raw.Method, Path: "/" + strings.TrimPrefix(path, "/"),
		Query: raw.Query, ContentType: raw.Header.Get("Content-Type"), Body: raw.Body,
	}
	return call, nil
}

// ModelList decodes a request for the list of models.
func ModelList(raw Raw) (*core.Call, error) {
	return newCall(raw, 0)
}

// newCall decodes what all kinds of call have in common.
func newCall(raw Raw, kind core.Kind) (*core.Call, error) {
	key := raw.Header.Get("Idempotency-Key")
	if len(key) > maxIdempotencyKey || !validIdempotencyKey(key) {
		return nil, fault.Refuse(fault.KeyInvalid,
			"the Idempotency-Key must have at most %d printable ASCII characters without spaces or slashes", maxIdempotencyKey)
	}
	if len(raw.Body) > MaxBody {
		return nil, fault.Refuse(fault.BodyTooLarge, "the body has more than %d bytes; shorten the prompt or split the request", MaxBody)
	}
	return &core.Call{
		Kind: kind, BearerKey: bearerKey(raw.Header), IdempotencyKey: key,
		Class: core.ClassName(raw.Header.Get(ClassHeader)), Received: raw.Received,
		Fingerprint: fingerprint(raw),
	}, nil
}

// validIdempotencyKey reports whether the key may be part of a row key and of a
// header. An empty key is valid and means that there is none.
func validIdempotencyKey(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' || key[i] == '/' {
			return false
		}
	}
	return true
}

func bearerKey(header http.Header) string {
	scheme, key, found := strings.Cut(header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

func fingerprint(raw Raw) [32]byte {
	digest := sha256.New()
	for _, part := range []string{raw.Method, raw.Path, raw.Query} {
		digest.Write([]byte(part))
		digest.Write([]byte{0})
	}
	digest.Write(raw.Body)
	return [32]byte(digest.Sum(nil))
}
