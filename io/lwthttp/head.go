package lwthttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// maxHeadBytes is the maximum size of the head of a response.
const maxHeadBytes = 16 << 10

// errHeadTooLarge reports a head that does not fit the buffer of its reader.
var errHeadTooLarge = fmt.Errorf("%w: head too large", ErrMalformed)

// ReadHead reads the head of a response, interim or final. It is the only place that decides
// whether bytes are the head of an HTTP/1 response (RFC 9112): one that passes has a valid status,
// field lines that every recipient reads alike, and an unambiguous framing. Errors are
// ErrMalformed, ErrIncomplete or those of the reader.
func ReadHead(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	_, err := readHead(reader, header)
	return err
}

// readHead is ReadHead. It also returns the framing that the fields declare.
func readHead(reader *bufio.Reader, header *fasthttp.ResponseHeader) (framing, error) {
	var scanner headScanner
	if err := peekHead(reader, &scanner); err != nil {
		return framing{}, err
	}
	declared, err := scanner.framing()
	if err != nil {
		return framing{}, err
	}
	header.Reset()
	header.DisableNormalizing()
	header.SetNoDefaultContentType(true)
	if err := header.Read(reader); err != nil {
		return framing{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return declared, nil
}

// peekHead waits until the reader has buffered a whole head, and validates it line by line as it
// arrives.
func peekHead(reader *bufio.Reader, scanner *headScanner) error {
	for {
		// Peeking at what is buffered never fails.
		buffered, _ := reader.Peek(reader.Buffered())
		if complete, err := scanner.scan(buffered); complete || err != nil {
			return err
		}
		if len(buffered) == reader.Size() {
			return errHeadTooLarge
		}
		if _, err := reader.Peek(len(buffered) + 1); errors.Is(err, io.EOF) {
			return fmt.Errorf("%w: head: %w", ErrIncomplete, err)
		} else if err != nil {
			return err
		}
	}
}

// headScanner validates the lines of a response's head.
type headScanner struct {
	// upgrade says that the request asks for a change of the protocol.
	upgrade bool
	// scanned is the number of bytes that have been validated.
	scanned       int
	hasStatus     bool
	version       string
	framingFields framingFields
}

// scan validates the lines that have become complete. Buffered holds all bytes so far, from the
// start of the head. Complete is true at the empty line that ends the head.
func (scanner *headScanner) scan(buffered []byte) (complete bool, err error) {
	for {
		line, _, found := bytes.Cut(buffered[scanner.scanned:], []byte("\n"))
		if !found {
			return false, nil
		}
		scanner.scanned += len(line) + 1
		line, found = bytes.CutSuffix(line, []byte("\r"))
		switch {
		case !found:
			err = fmt.Errorf("%w: line %q does not end with CRLF", ErrMalformed, excerpt(line))
		case !scanner.hasStatus:
			scanner.hasStatus = true
			err = scanner.scanStatusLine(line)
		case len(line) == 0:
			return true, nil
		default:
			err = scanner.framingFields.addLine(line)
		}
		if err != nil {
			return false, err
		}
	}
}

// Limits of the status of a response (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

func (scanner *headScanner) scanStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	status, err := strconv.ParseUint(string(code), 10, 16)
	scanner.version = string(version)
	switch {
	case scanner.version != "HTTP/1.1" && scanner.version != "HTTP/1.0":
		return fmt.Errorf("%w: unsupported version in status line %q", ErrMalformed, excerpt(line))
	case err != nil || len(code) != 3 || status < minStatus || status > maxStatus:
		return fmt.Errorf("%w: invalid status in status line %q", ErrMalformed, excerpt(line))
	case status == fasthttp.StatusSwitchingProtocols && !scanner.upgrade:
		return fmt.Errorf("%w: the server changes the protocol without being asked", ErrMalformed)
	case !httpguts.ValidHeaderFieldValue(string(reason)):
		return fmt.Errorf("%w: control character in status line %q", ErrMalformed, excerpt(line))
	}
	return nil
}

// framing returns the framing that the head declares. Without a length and without chunks, the
// body ends with the connection.
func (scanner *headScanner) framing() (framing, error) {
	if scanner.version == "HTTP/1.0" && len(scanner.framingFields.encodings) > 0 {
		return framing{}, fmt.Errorf("%w: Transfer-Encoding in an HTTP/1.0 response", ErrMalformed)
	}
	return scanner.framingFields.framing(lengthUntilClose)
}
