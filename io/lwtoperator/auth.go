package lwtoperator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/valyala/fasthttp"
)

const (
	operatorValue = "operator"
	// operatorDigits is the number of digits of a key's hash that name the
	// operator in logs and tickets. They don't help to find the key.
	operatorDigits = 12
)

// KeyHash returns the form in which an operator's key is kept in the settings.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// authenticate returns the name of the operator whose key the request carries.
// All hashes are compared, in constant time.
func (server *Server) authenticate(ctx *fasthttp.RequestCtx) (string, bool) {
	key, found := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	if !found {
		return "", false
	}
	hash, known := KeyHash(key), 0
	for _, allowed := range server.dependencies.KeyHashes {
		known |= subtle.ConstantTimeCompare([]byte(hash), []byte(allowed))
	}
	return hash[:operatorDigits], known == 1
}
