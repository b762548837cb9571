package lwthttp

import (
	"iter"
	"strings"
)

// FieldHeader is the header of a request or a response, such as fasthttp.RequestHeader.
type FieldHeader interface {
	Peek(name string) []byte
	All() iter.Seq2[[]byte, []byte]
}

// Field returns the value of a header field, or nil if there is none. Names of fields are compared
// without regard to case (RFC 9110, section 5.1); headers keep the spelling in which they were received.
func Field(header FieldHeader, name string) []byte {
	if value := header.Peek(name); len(value) > 0 {
		return value
	}
	for spelling, value := range header.All() {
		if len(spelling) == len(name) && strings.EqualFold(string(spelling), name) {
			return value
		}
	}
	return nil
}
