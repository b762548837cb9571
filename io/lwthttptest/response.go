// Package lwthttptest has valid and invalid HTTP responses, and servers that send them byte for byte,
// for the tests of all code that reads responses.
package lwthttptest

import (
	"embed"
	"fmt"
	"strconv"
	"strings"
)

//go:embed testdata/*.txt
var files embed.FS

// Body is the body of each response, if there is one. It has two bytes.
const Body = "hi"

// InvalidStatus returns responses that have no valid status line. Each has the field "Id: 1" and would
// be a whole response with a body of two bytes if its status line were valid.
func InvalidStatus(body string) []string { return read("invalid-status.txt", body) }

// InvalidFields returns responses with field lines that are invalid, or that recipients read
// differently.
func InvalidFields(body string) []string { return read("invalid-fields.txt", body) }

// Invalid returns all responses that are invalid.
func Invalid(body string) []string { return append(InvalidStatus(body), InvalidFields(body)...) }

// Valid returns responses that are unusual and valid.
func Valid(body string) []string { return read("valid.txt", body) }

// read reads a file with a Go-quoted response on each line, and replaces the body of each. It panics
// if the file is malformed.
func read(file, body string) []string {
	if len(body) != len(Body) {
		panic(fmt.Sprintf("the body %q does not have %d bytes", body, len(Body)))
	}
	content, err := files.ReadFile("testdata/" + file)
	if err != nil {
		panic(err)
	}
	var responses []string
	for line := range strings.Lines(string(content)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		response, err := strconv.Unquote(strings.TrimSpace(line))
		if err != nil {
			panic(fmt.Sprintf("%s: line %s: %v", file, line, err))
		}
		responses = append(responses, replaceBody(response, body))
	}
	return responses
}

// replaceBody replaces the body of a response, which may be in chunks of one byte.
func replaceBody(response, body string) string {
	response = strings.ReplaceAll(response, "1\r\nh\r\n1\r\ni\r\n", "1\r\n"+body[:1]+"\r\n1\r\n"+body[1:]+"\r\n")
	return strings.ReplaceAll(response, "\n"+Body, "\n"+body)
}

// InvalidBodyOnly reports whether an invalid response has a valid head, so that only a reader of its
// body can find the fault.
func InvalidBodyOnly(response string) bool {
	return strings.HasPrefix(response, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
}
