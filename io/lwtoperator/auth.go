package lwtoperator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/valyala/fasthttp"
)

const (
	// operatorContextKey is the request's user value that holds the operator's name.
	operatorContextKey = "operator"
	// operatorNameDigits is the length of an operator's name in logs and tickets:
	// the first hexadecimal digits of the key's hash, which do not reveal the key.
	operatorNameDigits = 12
)

// HashKey returns the hash of an operator's key as stored in the settings: its
// SHA-256 in hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// authenticate returns the name of the operator whose key is in the request's
// Authorization header. It compares the key's hash with every allowed hash in
// constant time, so that timing reveals neither a hash nor which one matched.
func (server *Server) authenticate(ctx *fasthttp.RequestCtx) (string, bool) {
	key, found := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	if !found {
		return "", false
	}
	hash, known := HashKey(key), 0
	for _, allowed := range server.dependencies.KeyHashes {
		known |= subtle.ConstantTimeCompare([]byte(hash), []byte(allowed))
	}
	return hash[:operatorNameDigits], known == 1
}
