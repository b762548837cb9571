package lwtroutetable_test

import (
	"testing"
	"time"

	"lacewingtide/core/lwtroutetable"
)

func config() lwtroutetable.Config {
	target := func(name string) []lwtroutetable.Target { return []lwtroutetable.Target{{Service: name, Weight: 1}} }
	return lwtroutetable.New(7, lwtroutetable.RequestLimits{}, []lwtroutetable.Route{
		{Name: "short", Host: "Shop.example", PathPrefix: "/a/", Targets: target("x")},
		{Name: "long", Host: "shop.example", PathPrefix: "/a/b/", Targets: target("y")},
		{Name: "other", Host: "chat.example", PathPrefix: "/a/", Targets: target("z")},
	}, []lwtroutetable.Service{{Name: "y"}, {Name: "x"}})
}

// TestRoute guards against requests being routed by a shorter path prefix, by another host, or
// by a path that only looks similar.
func TestRoute(t *testing.T) {
	for _, test := range []struct{ host, path, want string }{
		{"shop.example", "/a/1", "short"},
		{"shop.example", "/a/b/1", "long"},
		{"SHOP.example:80", "/a/b/", "long"},
		{"shop.example", "/a/b", "short"},
		{"chat.example", "/a/b/1", "other"},
		{"shop.example", "/ab/", ""},
		{"none.example", "/a/1", ""},
	} {
		route, found := config().Route(test.host, test.path)
		if found != (test.want != "") || route.Name != test.want {
			t.Errorf("route of %s%s: %q, want %q", test.host, test.path, route.Name, test.want)
		}
	}
}

// TestTarget guards against a wrong split by weight, and against requests to a service of
// weight 0.
func TestTarget(t *testing.T) {
	route := lwtroutetable.Route{
		Targets: []lwtroutetable.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}},
	}
	for _, test := range []struct {
		random float64
		want   string
	}{{0, "a"}, {0.89, "a"}, {0.9, "b"}, {0.999, "b"}} {
		if got := route.ChooseService(test.random); got != test.want {
			t.Errorf("target at %v: %s, want %s", test.random, got, test.want)
		}
	}
}

// TestSharedParts guards against counting the last segment of a prompt as shared.
func TestSharedParts(t *testing.T) {
	request := lwtroutetable.Request{
		Segments: []lwtroutetable.PromptSegment{{ID: "a", Tokens: 5}, {ID: "b", Tokens: 7}, {ID: "own", Tokens: 11}},
	}
	if request.SharedPrefixTokens() != 12 || request.SharedPrefixKey() != "b" {
		t.Errorf("shared: %d tokens, key %q", request.SharedPrefixTokens(), request.SharedPrefixKey())
	}
	alone := lwtroutetable.Request{Segments: request.Segments[2:], Timeout: time.Second}
	if alone.SharedPrefixTokens() != 0 || alone.SharedPrefixKey() != "" {
		t.Errorf("a prompt of one segment shares %d tokens, want 0", alone.SharedPrefixTokens())
	}
}

// TestFingerprint guards against two requests that differ in any part of their content being taken
// for the same one.
func TestFingerprint(t *testing.T) {
	content := func(method, host, target, credentials, model, body string) lwtroutetable.Content {
		return lwtroutetable.Content{
			Method: []byte(method), Host: []byte(host), Target: []byte(target), Credentials: []byte(credentials),
			Model: model, Body: []byte(body),
		}
	}
	base := content("POST", "shop.example", "/a/1", "key-1", "m", "order")
	if base.Fingerprint() != content("POST", "shop.example", "/a/1", "key-1", "m", "order").Fingerprint() {
		t.Error("equal contents have different fingerprints")
	}
	for _, other := range []lwtroutetable.Content{
		content("PUT", "shop.example", "/a/1", "key-1", "m", "order"),
		content("POST", "chat.example", "/a/1", "key-1", "m", "order"),
		content("POST", "shop.example", "/a/2", "key-1", "m", "order"),
		content("POST", "shop.example", "/a/1", "key-2", "m", "order"),
		content("POST", "shop.example", "/a/1", "key-1", "n", "order"),
		content("POST", "shop.example", "/a/1", "key-1", "m", "orders"),
		content("POST", "shop.example", "/a/1k", "ey-1", "m", "order"),
		content("POST", "shop.example", "/a/1", "key-1", "mo", "rder"),
	} {
		if base.Fingerprint() == other.Fingerprint() {
			t.Errorf("content %s has the fingerprint of %s", other, base)
		}
	}
}
