package openai

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/shoenig/test/must"
)

var compareRequests = cmp.Options{cmpopts.IgnoreUnexported(Request{}), cmpopts.EquateEmpty()}

func collect(events ...string) (string, error) {
	var c Collector
	for _, event := range events {
		if err := c.Add([]byte(event)); err != nil {
			return "", err
		}
	}
	body, err := c.Body()
	return string(body), err
}

func TestCollector(t *testing.T) {
	for name, test := range map[string]struct {
		events []string
		want   string
	}{
		"text": {
			[]string{
				`{"id":"i","object":"chat.completion.chunk","created":5,"model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":""}}],"usage":null}`,
				`{"id":"i","created":6,"choices":[{"index":0,"delta":{"content":"he"},"logprobs":{"content":[{"token":"he"}]}}]}`,
				`{"choices":[{"index":0,"delta":{"content":"llo"}}]}`,
				`{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`,
				`{"choices":[],"usage":{"prompt_tokens":1,"extra":2}}`,
			},
			`{"id":"i","created":5,"model":"m","object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"hello"},"finish_reason":"stop","logprobs":{"content":[{"token":"he"}],"refusal":null}}],"usage":{"prompt_tokens":1,"extra":2}}`,
		},
		"two answers": {
			[]string{`{"choices":[{"index":1,"delta":{"content":"b"}},{"index":0,"delta":{"refusal":"no"}}]}`, `{"choices":[{"index":1,"delta":{"content":"c"}}]}`},
			`{"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":null,"refusal":"no"},"finish_reason":null},{"index":1,"message":{"role":"assistant","content":"bc"},"finish_reason":null}]}`,
		},
		"tools": {
			[]string{
				`{"choices":[{"delta":{"tool_calls":[{"index":0,"id":"c","type":"function","function":{"name":"f","arguments":"{\"a"}}]}}]}`,
				`{"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"\":1}"}},{"index":1,"id":"d","function":{"name":"g"}}]}}]}`,
			},
			`{"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":null,"tool_calls":[{"id":"c","type":"function","function":{"name":"f","arguments":"{\"a\":1}"}},{"id":"d","type":"function","function":{"name":"g","arguments":""}}]},"finish_reason":null}]}`,
		},
	} {
		got, err := collect(test.events...)
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, test.want, got, must.Sprint(name))
	}
}

func TestCollectorErrors(t *testing.T) {
	for event, want := range map[string]Error{
		`{`:                           {Kind: NotJSON, Field: "the event"},
		`{"error":{"message":"x"}}`:   {Kind: EngineError},
		`{"choices":[]}`:              {Kind: Missing, Field: "choices"},
		`{"choices":[{"index":-1}]}`:  {Kind: OutOfRange, Field: "choices.index", Limit: maxElementIndex},
		`{"choices":[{"index":128}]}`: {Kind: OutOfRange, Field: "choices.index", Limit: maxElementIndex},
		`{"choices":[{"delta":{"tool_calls":[{"index":1e3}]}}]}`:  {Kind: NotJSON, Field: "the event"},
		`{"choices":[{"delta":{"tool_calls":[{"index":1000}]}}]}`: {Kind: OutOfRange, Field: "tool_calls.index", Limit: maxElementIndex},
		strings.Repeat(" ", DefaultCollectedBytes+1):              {Kind: TooLarge, Field: "the answer", Limit: DefaultCollectedBytes},
	} {
		_, err := collect(event)
		must.Eq(t, error(&want), err)
	}
}

func TestReadUsage(t *testing.T) {
	for event, want := range map[string]Usage{
		`{"choices":[{}],"usage":{"prompt_tokens":9,"cached_tokens":4,"completion_tokens":3}}`:            {9, 4, 3, false},
		`{"choices":[],"usage" : {"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":99}}}`:       {9, 9, 0, true},
		`{"choices":[{"delta":{"content":"usage"}}],"usage":{"prompt_tokens":-9,"completion_tokens":-3}}`: {0, 0, 0, false},
		`{"choices":[{"delta":{"content":"usage"}}]}`:                                                     {},
		`{"choices":[{"delta":{"content":"\"usage\":{\"prompt_tokens\":5}"}}],"usage":null}`:              {},
		`{"choices":[{"delta":{"usage":{"prompt_tokens":5}}}]}`:                                           {},
		`{"usage":{"prompt_tokens":5}`:                                                                    {},
	} {
		got, found := ReadUsage([]byte(event))
		must.Eq(t, want, got, must.Sprint(event))
		must.Eq(t, strings.Contains(event, `_tokens":-`) || want != Usage{}, found, must.Sprint(event))
	}
}

// FuzzCollector checks that a collected body is valid JSON.
func FuzzCollector(f *testing.F) {
	f.Add(`{"choices":[{"index":0,"delta":{"content":"a"}}]}`, `{"choices":[{"index":2,"delta":{"tool_calls":[{"index":1}]}}],"usage":{}}`)
	f.Fuzz(func(t *testing.T, first, second string) {
		_, _ = ReadUsage([]byte(first))
		body, err := collect(first, second)
		if err == nil {
			must.True(t, json.Valid([]byte(body)))
		}
	})
}

func BenchmarkOpenAI(b *testing.B) {
	event := []byte(`{"id":"1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"token"}}],"usage":null}`)
	collector := Collector{Limit: 1 << 50}
	parse := func(body []byte) func() {
		return func() {
			r, err := Parse(body, Limits{})
			must.NoError(b, err)
			_ = r.StreamBody()
		}
	}
	for name, do := range map[string]func(){
		"parse 1 KB":    parse(chatBody(strings.Repeat("x", 1<<10))),
		"parse 100 KB":  parse(chatBody(strings.Repeat("x", 100<<10))),
		"read usage":    func() { _, _ = ReadUsage(event) },
		"collect event": func() { must.NoError(b, collector.Add(event)) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				do()
			}
		})
	}
}
