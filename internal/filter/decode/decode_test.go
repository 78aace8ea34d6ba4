package decode

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
)

func raw(body string) Raw {
	return Raw{Method: http.MethodPost, Path: "/v1/chat/completions", Header: http.Header{}, Body: []byte(body)}
}

// Guards against invalid requests that pass decoding and fail only after tokens
// were reserved or the request was sent.
func TestInvalidCompletionsAreRefused(t *testing.T) {
	for body, expected := range map[string]string{
		`{`:              "valid chat completion",
		`[]`:             "valid chat completion",
		`{"messages":1}`: "valid chat completion",
		`{"messages":[{"role":"user","content":"x"}]}`: "model: ",
		`{"model":"m"}`: "messages: ",
		`{"model":"m","messages":[{"content":"x"}]}`:                                            "messages[0].role",
		`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":-1}`:              "max_tokens: is -1",
		`{"model":"m","messages":[{"role":"user","content":"x"}],"n":2}`:                        "n: is 2",
		`{"model":"m","messages":[{"role":"user","content":[{"type":"image_url","text":""}]}]}`: "image_url",
	} {
		Convey("Refuses "+body, t, func() {
			_, err := Completion(raw(body))
			typed := fault.From(err)
			So(typed.Code, ShouldEqual, fault.InvalidRequest)
			So(typed.Run, ShouldEqual, fault.NotRun)
			So(typed.Message, ShouldContainSubstring, expected)
		})
	}
	Convey("Refuses an idempotency key that can't be part of a row key", t, func() {
		for _, key := range []string{"a/b", "a b", "\x01", strings.Repeat("k", maxIdempotencyKey+1)} {
			request := raw(`{"model":"m","messages":[{"role":"user","content":"x"}]}`)
			request.Header["Idempotency-Key"] = []string{key}
			_, err := Completion(request)
			So(fault.From(err).Code, ShouldEqual, fault.KeyInvalid)
		}
	})
}

// Guards against sampling parameters or message text that are lost in decoding.
func TestCompletionIsDecodedCompletely(t *testing.T) {
	Convey("Text parts are joined and unknown parameters kept", t, func() {
		request := raw(`{"model":"m","max_tokens":7,"stream":true,"temperature":0.5,"stop":["x"],
			"metadata":{"class":"price"},
			"messages":[{"role":"system","content":"be brief"},{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`)
		request.Header.Set("Authorization", "bearer secret")
		call, err := Completion(request)
		So(err, ShouldBeNil)
		So(call.BearerKey, ShouldEqual, "secret")
		So(call.Class, ShouldEqual, core.ClassName("price"))
		So(call.Completion.Messages[1].Content, ShouldEqual, "ab")
		So(call.Completion.MaxTokens, ShouldEqual, core.Tokens(7))
		So(call.Completion.Parameters, ShouldResemble, []core.Parameter{
			{Name: "stop", JSON: []byte(`["x"]`)}, {Name: "temperature", JSON: []byte("0.5")},
		})
	})
}

// Guards against a panic or an untyped error caused by arbitrary input.
func FuzzCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":3}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":null}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		call, err := Completion(Raw{Header: http.Header{}, Body: body})
		if err != nil && fault.From(err).Run != fault.NotRun {
			t.Fatalf("refusal of a request that was never sent has run state %q", fault.From(err).Run)
		}
		if err == nil && (call.Completion.MaxTokens < 0 || len(call.Completion.Messages) == 0) {
			t.Fatalf("accepted %q", body)
		}
	})
}
