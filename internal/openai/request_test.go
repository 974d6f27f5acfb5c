package openai

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
)

const requestStart = `{"model":"m","messages":[{"role":"user","content":"hello wor"}]`

func TestParse(t *testing.T) {
	for name, test := range map[string]struct {
		body string
		want Request
	}{
		"least":      {requestStart + `}`, Request{PromptTokens: 2, OutputTokens: 1024}},
		"limit":      {requestStart + `,"max_tokens":7}`, Request{MaxTokens: 7, PromptTokens: 2, OutputTokens: 7}},
		"two limits": {requestStart + `,"max_completion_tokens":1e1,"max_tokens":7,"n":3}`, Request{MaxTokens: 10, PromptTokens: 2, OutputTokens: 30}},
		"nulls":      {requestStart + `,"stream":null,"max_tokens":null,"stream_options":null}`, Request{PromptTokens: 2, OutputTokens: 1024}},
		"stream":     {requestStart + `,"stream":true,"stream_options":{"include_usage":true},"x":{"model":1}}`, Request{Stream: true, IncludeUsage: true, PromptTokens: 2, OutputTokens: 1024}},
		"other case": {requestStart + `,"Model":"n","STREAM":true}`, Request{PromptTokens: 2, OutputTokens: 1024}},
		"parts": {
			`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hello wor"},{"type":"image_url","image_url":{"url":"data:"}}]}]}`,
			Request{PromptTokens: 2 + nonTextPartTokens, OutputTokens: 1024},
		},
		"tools": {
			`{"model":"m","tools":[{"a":1}],"messages":[{"role":"assistant","content":null,"tool_calls":[1234567]}]}`,
			Request{PromptTokens: 4, OutputTokens: 1024},
		},
	} {
		got, err := Parse([]byte(test.body), Limits{})
		must.NoError(t, err, must.Sprint(name))
		must.NotEq(t, 0, got.Fingerprint)
		test.want.Body, test.want.Model, test.want.Messages = []byte(test.body), "m", 1
		got.Fingerprint, got.members = 0, nil
		must.Eq(t, test.want, *got, must.Sprint(name), must.Cmp(compareRequests))
	}
}

func TestParseErrors(t *testing.T) {
	rest := strings.TrimPrefix(requestStart, `{"model":"m",`)
	for body, want := range map[string]Error{
		``:                                                       {Kind: NotJSON},
		`[]`:                                                     {Kind: NotJSON},
		`{"model":"m"`:                                           {Kind: NotJSON},
		requestStart + `} x`:                                     {Kind: NotJSON},
		requestStart + `}{}`:                                     {Kind: NotJSON},
		requestStart + `,"a":}`:                                  {Kind: NotJSON},
		`{` + rest + `}`:                                         {Kind: Missing, Field: "model"},
		`{"model":"",` + rest + `}`:                              {Kind: Missing, Field: "model"},
		`{"model":1,` + rest + `}`:                               {Kind: WrongType, Field: "model"},
		requestStart + `,"model":"n"}`:                           {Kind: DuplicateField, Field: "model"},
		requestStart + `,"mod\u0065l":"n"}`:                      {Kind: DuplicateField, Field: "model"},
		requestStart + `,"stream":"yes"}`:                        {Kind: WrongType, Field: "stream"},
		requestStart + `,"stream_options":1}`:                    {Kind: WrongType, Field: "stream_options"},
		requestStart + `,"max_tokens":0}`:                        {Kind: OutOfRange, Field: "max_tokens", Limit: 100},
		requestStart + `,"max_tokens":101}`:                      {Kind: OutOfRange, Field: "max_tokens", Limit: 100},
		requestStart + `,"max_tokens":1e999}`:                    {Kind: OutOfRange, Field: "max_tokens", Limit: 100},
		requestStart + `,"max_tokens":1.5}`:                      {Kind: WrongType, Field: "max_tokens"},
		requestStart + `,"max_tokens":"5"}`:                      {Kind: WrongType, Field: "max_tokens"},
		requestStart + `,"n":17}`:                                {Kind: OutOfRange, Field: "n", Limit: DefaultMaxChoices},
		`{"model":"m"}`:                                          {Kind: Missing, Field: "messages"},
		`{"model":"m","messages":[]}`:                            {Kind: Missing, Field: "messages"},
		`{"model":"m","messages":{}}`:                            {Kind: WrongType, Field: "messages"},
		`{"model":"m","messages":[null]}`:                        {Kind: Missing, Field: "messages.role"},
		`{"model":"m","messages":[{},{}]}`:                       {Kind: TooMany, Field: "messages", Limit: 1},
		`{"model":"m","messages":[{"role":"u","content":5}]}`:    {Kind: WrongType, Field: "messages.content"},
		`{"model":"m","messages":[{"role":"u","content":[5]}]}`:  {Kind: WrongType, Field: "messages.content"},
		`{"model":"m","messages":[{"role":"u","content":[{}]}]}`: {Kind: Missing, Field: "messages.content.type"},
		`{"model":"m","messages":[{"role":5}]}`:                  {Kind: WrongType, Field: "messages.role"},
		strings.Repeat(`{"a":`, 20000) + `1` + strings.Repeat(`}`, 20000): {Kind: NotJSON},
	} {
		got, err := Parse([]byte(body), Limits{Messages: 1, OutputTokens: 100})
		must.Nil(t, got)
		must.Eq(t, error(&want), err, must.Sprint(body[:min(len(body), 80)]))
		must.NotEq(t, "", err.Error())
	}
}

func chatBody(texts ...string) []byte {
	var b strings.Builder
	b.WriteString(`{"model":"m","messages":[`)
	for i, text := range texts {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(`{"role":"user","content":"` + text + `"}`)
	}
	return []byte(b.String() + `]}`)
}

func TestPromptDigests(t *testing.T) {
	common := strings.Repeat("c", 5*PrefixBytes)
	parse := func(texts ...string) *Request {
		r, err := Parse(chatBody(texts...), Limits{})
		must.NoError(t, err)
		return r
	}
	a, b := parse(common, strings.Repeat("a", 5*PrefixBytes)), parse(common+strings.Repeat("b", 5*PrefixBytes))
	must.SliceLen(t, 4, a.Prefixes)
	must.Eq(t, a.Prefixes[:3], b.Prefixes[:3])
	must.NotEq(t, a.Prefixes[3], b.Prefixes[3])
	must.Eq(t, xxhash.Sum64String(common[:PrefixBytes]), a.Prefixes[0])
	must.Eq(t, a.Prefixes[0], a.Prefix)
	must.Eq(t, xxhash.Sum64String(common[:4*PrefixBytes]), a.Prefixes[2])

	short := parse(common[:100])
	must.SliceEmpty(t, short.Prefixes)
	must.Eq(t, xxhash.Sum64String(common[:64]), short.Prefix)
	must.Eq(t, 0, parse("hi").Prefix)

	must.Eq(t, parse("a", "b").Fingerprint, parse("a", "b").Fingerprint)
	must.NotEq(t, parse("a", "b").Fingerprint, parse("ab").Fingerprint)
}

func TestEnableStreamingPreservesOtherBytes(t *testing.T) {
	for body, want := range map[string]string{
		` {} `:                                `{"stream":true,"stream_options":{"include_usage":true}} `,
		`{ "seed" : 1.00 , "stream": false }`: `{"stream_options":{"include_usage":true}, "seed" : 1.00 , "stream": true }`,
		`{"stream_options":{"x":[1]},"stream":null,"z":"\u0041"}`: `{"stream_options":{"include_usage":true,"x":[1]},"stream":true,"z":"\u0041"}`,
		`{"stream_options":{ "include_usage": false }}`:           `{"stream":true,"stream_options":{ "include_usage": true }}`,
		`{"stream_options":null}`:                                 `{"stream":true,"stream_options":{"include_usage":true}}`,
		`{"stream":true,"stream_options":{"include_usage":true}}`: `{"stream":true,"stream_options":{"include_usage":true}}`,
	} {
		got, err := EnableStreaming([]byte(body))
		must.NoError(t, err)
		must.Eq(t, strings.TrimLeft(want, " "), strings.TrimLeft(string(got), " "))
	}
}

// FuzzParse checks that StreamBody changes nothing but the stream fields of an
// accepted request.
func FuzzParse(f *testing.F) {
	f.Add([]byte(requestStart + `,"stream":false}`))
	f.Add([]byte(requestStart + `,"stream_options":{"include_usage":false},"n":2}`))
	f.Add(chatBody("a", strings.Repeat("b", 2000)))
	f.Add([]byte(`{"model":"m","messages":[{"role":"u","content":[{"type":"x"}]}],"tools":[]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		before, err := Parse(body, Limits{})
		if err != nil {
			return
		}
		streamed := before.StreamBody()
		must.True(t, json.Valid(streamed), must.Sprint(string(streamed)))
		after, err := Parse(streamed, Limits{})
		must.NoError(t, err)
		must.True(t, after.Stream && after.IncludeUsage)
		must.Eq(t, before.Fingerprint, after.Fingerprint)
		must.Eq(t, before.OutputTokens, after.OutputTokens)
		for _, m := range before.members {
			if m.key != "stream" && m.key != "stream_options" {
				value := after.members[indexOf(after.members, m.key)].value
				must.Eq(t, string(m.value), string(value))
			}
		}
		must.Eq(t, string(streamed), string(after.StreamBody()))
	})
}
