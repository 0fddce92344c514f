// Package answertest has answers of faulty and of sound servers, for the tests of all that read answers.
package answertest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// UploadBytes is the size of a request that is still being written when the server answers it early.
const UploadBytes = 4 << 20

// ending is what a server does after its answer.
type ending int

const (
	// stays waits for the caller to close the connection.
	stays ending = iota
	closes
	resets
)

// Answer is what a server sends, and how it goes on.
type Answer struct {
	Name string
	// Head and Body are sent as they are. "{header}" stands for fields of the test's own.
	Head, Body string
	// Early means that the server answers a request of UploadBytes without reading it.
	Early bool
	// Whole means that the caller gets an answer and no error, with the body Want.
	Whole bool
	Want  string

	ending ending
	// after is when the ending follows.
	after time.Duration
}

const (
	ok       = "HTTP/1.1 200 OK\r\n{header}"
	twoBytes = "Content-Length: 2\r\n\r\n"
	chunked  = "Transfer-Encoding: chunked\r\n\r\n"
)

// Heads returns answers that differ by their heads, and by how their bodies are delimited.
func Heads() []Answer {
	return []Answer{
		{Name: "length", Head: ok + twoBytes, Body: "ok", Whole: true, Want: "ok"},
		{Name: "chunks", Head: ok + chunked, Body: "2\r\nok\r\n0\r\n\r\n", Whole: true, Want: "ok"},
		{Name: "chunks and a trailer", Head: ok + chunked, Body: "2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", Whole: true, Want: "ok"},
		{Name: "ends with the connection", Head: ok + "\r\n", Body: "ok", ending: closes, Whole: true, Want: "ok"},
		{Name: "informational first", Head: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok + twoBytes, Body: "ok", Whole: true, Want: "ok"},
		{Name: "folded line", Head: ok + "X-Long: a\r\n b\r\n" + twoBytes, Body: "ok", Whole: true, Want: "ok"},
		{Name: "length and chunks: the chunks count", Head: ok + "Content-Length: 99\r\n" + chunked, Body: "2\r\nok\r\n0\r\n\r\n", Whole: true, Want: "ok"},

		{Name: "status 000", Head: "HTTP/1.1 000 X\r\n{header}" + twoBytes, Body: "ok"},
		{Name: "status 099", Head: "HTTP/1.1 099 X\r\n{header}" + twoBytes, Body: "ok"},
		{Name: "status 000 and another answer", Head: "HTTP/1.1 000 X\r\n\r\n" + ok + twoBytes, Body: "ok"},
		{Name: "status 099 and another answer", Head: "HTTP/1.1 099 X\r\n\r\n" + ok + twoBytes, Body: "ok"},
		{Name: "status 101 and another answer", Head: "HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok + twoBytes, Body: "ok"},
		{Name: "status 101", Head: "HTTP/1.1 101 Switching Protocols\r\n{header}\r\n"},
		{Name: "status 600", Head: "HTTP/1.1 600 X\r\n{header}" + twoBytes, Body: "ok"},
		{Name: "status 999", Head: "HTTP/1.1 999 X\r\n{header}" + twoBytes, Body: "ok"},
		{Name: "status with a sign", Head: "HTTP/1.1 +20 X\r\n{header}" + twoBytes, Body: "ok"},
		{Name: "blank in a name", Head: ok + "X Odd: 1\r\n" + twoBytes, Body: "ok"},
		{Name: "blank before the colon", Head: ok + "X-Odd : 1\r\n" + twoBytes, Body: "ok"},
		{Name: "blank before the colon of the length", Head: ok + "Content-Length : 2\r\n\r\n", Body: "ok and more", ending: closes},
		{Name: "blank before the colon of the coding", Head: ok + "Transfer-Encoding : chunked\r\n\r\n", Body: "2\r\nok\r\n0\r\n\r\n", ending: closes},
		{Name: "tab in a name", Head: ok + "X\tOdd: 1\r\n" + twoBytes, Body: "ok"},
		{Name: "control byte in a name", Head: ok + "X\x01Odd: 1\r\n" + twoBytes, Body: "ok"},
		{Name: "NUL in a name", Head: ok + "X\x00Odd: 1\r\n" + twoBytes, Body: "ok"},
		{Name: "DEL in a name", Head: ok + "X\x7fOdd: 1\r\n" + twoBytes, Body: "ok"},
		{Name: "high byte in a name", Head: ok + "X\xe9Odd: 1\r\n" + twoBytes, Body: "ok"},
		{Name: "separator in a name", Head: ok + "X(Odd): 1\r\n" + twoBytes, Body: "ok"},
		{Name: "no name", Head: ok + ": 1\r\n" + twoBytes, Body: "ok"},
		{Name: "no colon", Head: ok + "odd\r\n" + twoBytes, Body: "ok"},
		{Name: "control byte in a value", Head: ok + "X-Odd: a\x01b\r\n" + twoBytes, Body: "ok"},
		{Name: "two lengths", Head: ok + "Content-Length: 3\r\n" + twoBytes, Body: "ok"},
		{Name: "no answer", Head: "\x16\x03\x01garbled\r\n\r\n", ending: closes},
	}
}

// Endings returns answers whose heads are right and that end early, or whose trailers are wrong.
func Endings() []Answer {
	return []Answer{
		{Name: "length, closed early", Head: ok + twoBytes, Body: "o", ending: closes},
		{Name: "chunks, closed early", Head: ok + chunked, Body: "2\r\nok\r\n", ending: closes},
		{Name: "ends with the connection, reset", Head: ok + "\r\n", Body: "ok", ending: resets, after: 20 * time.Millisecond},
		{Name: "blank in a trailer's name", Head: ok + chunked, Body: "2\r\nok\r\n0\r\nX Odd: 1\r\n\r\n"},
	}
}

// Uploads returns early answers to a request of UploadBytes.
func Uploads() []Answer {
	out := []Answer{
		{Name: "early, with a length", Head: "HTTP/1.1 413 Too Large\r\n{header}" + twoBytes, Body: "no", Early: true, Whole: true, Want: "no"},
		{Name: "late, ends with the connection", Head: ok + "\r\n", Body: "ok", ending: closes, Whole: true, Want: "ok"},
	}
	for _, after := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
		out = append(out,
			Answer{Name: "early, reset after " + after.String(), Head: ok + "\r\n", Body: "part", Early: true, ending: resets, after: after},
			Answer{Name: "early, closed after " + after.String(), Head: ok + "\r\n", Body: "part", Early: true, ending: closes, after: after})
	}
	return out
}

// Serve starts a server that answers each request so, and returns its address. header returns the fields
// of the head, given those of the request.
func Serve(t *testing.T, a Answer, header func(http.Header) string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go a.handle(conn.(*net.TCPConn), header)
		}
	}()
	return listener.Addr().String()
}

func (a Answer) handle(conn *net.TCPConn, header func(http.Header) string) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if !a.Early {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	if _, err := io.WriteString(conn, strings.ReplaceAll(a.Head, "{header}", header(request.Header))+a.Body); err != nil {
		return
	}
	switch a.ending {
	case stays:
		if a.Early {
			time.Sleep(time.Second) // the request stays unread
			return
		}
		_, _ = io.Copy(io.Discard, conn)
	case closes:
		time.Sleep(a.after)
	case resets:
		time.Sleep(a.after)
		_ = conn.SetLinger(0) // the connection is closed in any case
	}
}
