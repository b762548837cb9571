package lwthttp

import (
	"bufio"
	"net"
)

// upgradeConn is a connection on which a change of the protocol has been requested.
type upgradeConn struct {
	net.Conn
	reader  *bufio.Reader
	checked bool
}

// CheckUpgrade returns a connection on which a change of the protocol is requested next. Its reads
// return the bytes of the response only if they begin with a valid head, by the rules of ReadHead except
// that status 101 is valid. The library that parses the response may be more tolerant.
func CheckUpgrade(conn net.Conn) net.Conn {
	return &upgradeConn{Conn: conn, reader: bufio.NewReaderSize(conn, responseBufferBytes)}
}

// Read implements net.Conn.
func (conn *upgradeConn) Read(into []byte) (int, error) {
	if !conn.checked {
		if err := conn.checkHead(); err != nil {
			return 0, err
		}
		conn.checked = true
	}
	if conn.reader.Buffered() > 0 {
		return conn.reader.Read(into)
	}
	return conn.Conn.Read(into)
}

func (conn *upgradeConn) checkHead() error {
	scanner := headScanner{upgrade: true}
	if err := peekHead(conn.reader, &scanner); err != nil {
		return err
	}
	_, err := scanner.framing()
	return err
}
