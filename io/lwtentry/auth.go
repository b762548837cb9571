package lwtentry

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtdeclaredstate"
)

// HashKey returns the SHA-256 of a key in hexadecimal, as stored in the declared state.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func authenticate(ctx *fasthttp.RequestCtx, state lwtdeclaredstate.State) (lwtdeclaredstate.Caller, bool) {
	key, found := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	if !found {
		return lwtdeclaredstate.Caller{}, false
	}
	return state.CallerByKeyHash(HashKey(key))
}

func contains(names []string, name string) bool { return slices.Contains(names, name) }

func handleModels(ctx *fasthttp.RequestCtx, state lwtdeclaredstate.State, caller lwtdeclaredstate.Caller) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	models := []model{}
	for _, name := range slices.Sorted(maps.Keys(state.Models)) {
		if contains(caller.Models, name) {
			models = append(models, model{ID: name, Object: "model", OwnedBy: "lacewingtide"})
		}
	}
	writeJSON(ctx, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", models})
}
