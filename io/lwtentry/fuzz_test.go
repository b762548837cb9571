package lwtentry

import "testing"

// FuzzCompletion guards against a parser that panics or that accepts a request without
// model, messages or tokens, and against a body that no longer parses once a seed is added.
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
				t.Errorf("error %+v, want outcome not-run and a body", failure)
			}
			return
		}
		if body.Model == "" || len(body.Messages) == 0 || body.promptTokens() < 1 || body.outputTokens() < 1 {
			t.Errorf("accepted invalid request %+v", body)
		}
		seeded, failure := parseCompletion(withSeed(raw, body, "stream"))
		if failure != nil || seeded.Model != body.Model || len(seeded.Messages) != len(body.Messages) {
			t.Errorf("with a seed: parsed %+v, error %+v; want the same model and messages", seeded, failure)
		}
	})
}
