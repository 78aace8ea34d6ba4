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

// ClaimPrefix begins the keys of all claim rows.
const ClaimPrefix = "claim/"

// ClaimKey returns the key of a claim's row.
func ClaimKey(key claims.Key) string {
	return ClaimPrefix + url.PathEscape(string(key.Team)) + "/" + url.PathEscape(key.Key)
}

// ParseClaimKey reads the form written by ClaimKey.
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

// AnswerObject returns the name of the object with an answer that is too
// large for its row. The serial is unique within the holder.
func AnswerObject(key claims.Key, holder core.HostRef, serial uint64) string {
	return fmt.Sprintf("answer/%s/%s/%d/%d", strings.TrimPrefix(ClaimKey(key), ClaimPrefix),
		url.PathEscape(string(holder.Host)), holder.Incarnation, serial)
}

type completionForm struct {
	Text         string      `json:"text"`
	FinishReason string      `json:"finish_reason"`
	Prompt       core.Tokens `json:"prompt"`
	Generated    core.Tokens `json:"generated"`
}

type serviceAnswerForm struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

type answerForm struct {
	Completion *completionForm    `json:"completion,omitempty"`
	Service    *serviceAnswerForm `json:"service,omitempty"`
}

func answerOf(answer *core.Answer) *answerForm {
	if answer == nil {
		return nil
	}
	form := &answerForm{}
	if c := answer.Completion; c != nil {
		form.Completion = &completionForm{c.Text, c.FinishReason, c.Usage.Prompt, c.Usage.Generated}
	}
	if s := answer.Service; s != nil {
		form.Service = &serviceAnswerForm{s.Status, s.ContentType, s.Body}
	}
	return form
}

func (f *answerForm) answer() (*core.Answer, error) {
	if (f.Completion == nil) == (f.Service == nil) {
		return nil, fmt.Errorf("answer: exactly one of completion and service must be set")
	}
	if c := f.Completion; c != nil {
		return &core.Answer{Completion: &core.CompletionAnswer{
			Text: c.Text, FinishReason: c.FinishReason, Usage: core.Usage{Prompt: c.Prompt, Generated: c.Generated},
		}}, nil
	}
	return &core.Answer{Service: &core.ServiceAnswer{
		Status: f.Service.Status, ContentType: f.Service.ContentType, Body: f.Service.Body,
	}}, nil
}

// EncodeAnswer returns the content of an answer's object.
func EncodeAnswer(answer *core.Answer) []byte {
	return marshalBilling(answerOf(answer))
}

// DecodeAnswer reads the content of an answer's object.
func DecodeAnswer(content []byte) (*core.Answer, error) {
	var form answerForm
	if err := json.Unmarshal(content, &form); err != nil {
		return nil, fmt.Errorf("answer: %w", err)
	}
	return form.answer()
}

type claimForm struct {
	State       claims.State `json:"state"`
	Holder      billingHost  `json:"holder"`
	Attempt     uint64       `json:"attempt"`
	Fingerprint string       `json:"fingerprint"`
	Abandoned   bool         `json:"abandoned,omitempty"`
	Answer      *answerForm  `json:"answer,omitempty"`
	Object      string       `json:"object,omitempty"`
}

// EncodeClaim returns the value of a claim's row.
func EncodeClaim(record claims.Record) []byte {
	return marshalBilling(claimForm{
		record.State, billingHostOf(record.Holder), record.Attempt, hex.EncodeToString(record.Fingerprint[:]),
		record.Abandoned, answerOf(record.Answer), record.Object,
	})
}

// DecodeClaim reads the value of a claim's row.
func DecodeClaim(value []byte) (claims.Record, error) {
	var form claimForm
	if err := json.Unmarshal(value, &form); err != nil {
		return claims.Record{}, fmt.Errorf("claim row: %w", err)
	}
	record := claims.Record{
		State: form.State, Holder: form.Holder.ref(), Attempt: form.Attempt,
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
