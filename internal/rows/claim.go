package rows

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/claims"
)

// ClaimPrefix is the key prefix of all claim rows.
const ClaimPrefix = "claim/"

// ClaimKey returns the key of a claim's row.
func ClaimKey(key claims.Key) string {
	return ClaimPrefix + url.PathEscape(string(key.Team)) + "/" + url.PathEscape(key.Key)
}

// ParseClaimKey returns the claim of a key built by ClaimKey.
func ParseClaimKey(text string) (claims.Key, bool) {
	rest, isClaim := strings.CutPrefix(text, ClaimPrefix)
	team, key, split := strings.Cut(rest, "/")
	if !isClaim || !split {
		return claims.Key{}, false
	}
	teamName, teamErr := url.PathUnescape(team)
	plain, keyErr := url.PathUnescape(key)
	return claims.Key{Team: core.TeamName(teamName), Key: plain}, teamErr == nil && keyErr == nil
}

// AnswerObjectName returns the name of the object with an answer that is too large
// for its row. The serial number is unique among the holder's objects.
func AnswerObjectName(key claims.Key, holder core.HostRef, serial uint64) string {
	return fmt.Sprintf("answer/%s/%s/%d/%d", strings.TrimPrefix(ClaimKey(key), ClaimPrefix),
		url.PathEscape(string(holder.Host)), holder.Incarnation, serial)
}

type completionJSON struct {
	Text         string      `json:"text"`
	FinishReason string      `json:"finish_reason"`
	Prompt       core.Tokens `json:"prompt"`
	Generated    core.Tokens `json:"generated"`
}

type serviceAnswerJSON struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

type answerJSON struct {
	Completion *completionJSON    `json:"completion,omitempty"`
	Service    *serviceAnswerJSON `json:"service,omitempty"`
}

func newAnswerJSON(answer *core.Answer) *answerJSON {
	if answer == nil {
		return nil
	}
	form := &answerJSON{}
	if c := answer.Completion; c != nil {
		form.Completion = &completionJSON{c.Text, c.FinishReason, c.Usage.Prompt, c.Usage.Generated}
	}
	if s := answer.Service; s != nil {
		form.Service = &serviceAnswerJSON{s.Status, s.ContentType, s.Body}
	}
	return form
}

func (a *answerJSON) answer() (*core.Answer, error) {
	if (a.Completion == nil) == (a.Service == nil) {
		return nil, fmt.Errorf("answer: exactly one of completion and service must be set")
	}
	if c := a.Completion; c != nil {
		return &core.Answer{Completion: &core.CompletionAnswer{
			Text: c.Text, FinishReason: c.FinishReason, Usage: core.Usage{Prompt: c.Prompt, Generated: c.Generated},
		}}, nil
	}
	return &core.Answer{Service: &core.ServiceAnswer{
		Status: a.Service.Status, ContentType: a.Service.ContentType, Body: a.Service.Body,
	}}, nil
}

// EncodeAnswer returns the content of an answer's object.
func EncodeAnswer(answer *core.Answer) []byte {
	return mustMarshal(newAnswerJSON(answer))
}

// DecodeAnswer decodes the content of an answer's object.
func DecodeAnswer(content []byte) (*core.Answer, error) {
	var form answerJSON
	if err := json.Unmarshal(content, &form); err != nil {
		return nil, fmt.Errorf("answer: %w", err)
	}
	return form.answer()
}

type claimJSON struct {
	State       claims.State `json:"state"`
	Holder      hostRefJSON  `json:"holder"`
	Attempt     uint64       `json:"attempt"`
	Fingerprint string       `json:"fingerprint"`
	Abandoned   bool         `json:"abandoned,omitempty"`
	Answer      *answerJSON  `json:"answer,omitempty"`
	Object      string       `json:"object,omitempty"`
}

// EncodeClaim returns the value of a claim's row.
func EncodeClaim(record claims.Record) []byte {
	return mustMarshal(claimJSON{
		record.State, newHostRefJSON(record.Holder), record.Attempt, hex.EncodeToString(record.Fingerprint[:]),
		record.Abandoned, newAnswerJSON(record.Answer), record.Object,
	})
}

// DecodeClaim decodes the value of a claim's row.
func DecodeClaim(value []byte) (claims.Record, error) {
	var form claimJSON
	if err := json.Unmarshal(value, &form); err != nil {
		return claims.Record{}, fmt.Errorf("claim row: %w", err)
	}
	record := claims.Record{
		State: form.State, Holder: form.Holder.hostRef(), Attempt: form.Attempt,
		Abandoned: form.Abandoned, Object: form.Object,
	}
	digest, err := hex.DecodeString(form.Fingerprint)
	if err != nil || len(digest) != len(record.Fingerprint) {
		return claims.Record{}, fmt.Errorf("claim row: fingerprint %q must have %d hexadecimal digits",
			form.Fingerprint, 2*len(record.Fingerprint))
	}
	copy(record.Fingerprint[:], digest)
	if form.Answer != nil {
		if record.Answer, err = form.Answer.answer(); err != nil {
			return claims.Record{}, fmt.Errorf("claim row: %w", err)
		}
	}
	return record, validateClaim(&record)
}

func validateClaim(record *claims.Record) error {
	hasAnswer := record.Answer != nil || record.Object != ""
	switch record.State {
	case claims.Done:
		if !hasAnswer {
			return fmt.Errorf("claim row: a call that is done must have an answer or an object")
		}
	case claims.Claimed, claims.NotRun:
		if hasAnswer {
			return fmt.Errorf("claim row: a call that is %s must have no answer", record.State)
		}
	default:
		return fmt.Errorf("claim row: state %q must be claimed, done or not_run", record.State)
	}
	return nil
}
