package lwtentry

import "testing"

// FuzzCompletion guards against a parser that crashes, accepts a request
// without model, messages or tokens, or makes a body that no longer parses when
// it adds a seed.
func FuzzCompletion(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}]}`,
		`{"model":"m","messages":[1],"max_tokens":0}`, `{"model":"m","messages":[{}],"seed":null,"stream":true}`,
		`{"model":"m","messages":[{}],"SEED":7,"max_completion_tokens":9}`, `null`, `[]`, `{"model":1}`, `{`,
		" \n{\"model\":\"m\",\"messages\":[null],\"stream_options\":{\"include_usage\":true}}",
		`{"model":"m","messages":[{}],"max_tokens":1e99}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		body, failure := parseCompletion(raw)
		if failure != nil {
			if failure.Outcome != OutcomeNotRun || len(failure.Body()) == 0 {
				t.Errorf("failure %+v", failure)
			}
			return
		}
		if body.Model == "" || len(body.Messages) == 0 || body.promptTokens() < 1 || body.outputTokens() < 1 {
			t.Errorf("accepted %+v", body)
		}
		seeded, failure := parseCompletion(withSeed(raw, body, "stream"))
		if failure != nil || seeded.Model != body.Model || len(seeded.Messages) != len(body.Messages) {
			t.Errorf("with a seed: %+v, failure %+v", seeded, failure)
		}
	})
}
