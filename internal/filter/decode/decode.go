// Package decode is the filter that turns the bytes of a request into a typed
// call. It reads the OpenAI-compatible form; another front end replaces this
// filter and keeps the rest of the pipeline.
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
	// MaxBody bounds the body of a request in bytes. The longest prompts of
	// full appraisals are a few hundred kilobytes.
	MaxBody = 4 << 20
	// maxIdempotencyKey bounds the key in bytes, as it becomes part of a row key.
	maxIdempotencyKey = 128
	// maxMessages bounds the entries of a prompt.
	maxMessages = 4096
)

// ClassHeader names the class of work a request belongs to.
const ClassHeader = "X-Peridotreel-Class"

// Raw is a request as it came from the listener.
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
	call, err := common(raw, core.KindCompletion)
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

// Service decodes a call to the plain service with the given name. Path is
// the part of the request's path behind the name.
func Service(raw Raw, name core.ServiceName, path string) (*core.Call, error) {
	call, err := common(raw, core.KindService)
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

// Listing decodes a request that asks what a caller may use.
func Listing(raw Raw) (*core.Call, error) {
	return common(raw, 0)
}

func common(raw Raw, kind core.Kind) (*core.Call, error) {
	key := raw.Header.Get("Idempotency-Key")
	if len(key) > maxIdempotencyKey || !printable(key) {
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

// printable reports whether the key can stand in a row key and in a header.
func printable(key string) bool {
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
