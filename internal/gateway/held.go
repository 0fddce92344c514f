package gateway

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// heldAnswer is a whole answer that was put aside for another attempt. The caller
// gets it if no further attempt has an answer.
type heldAnswer struct {
	server   port.ServerID
	response *http.Response
	body     []byte
}

// buffer reads an answer into memory, so that it outlives its attempt. It
// reports false if the answer is too large, which can then still be read.
func (g *Gateway) buffer(response *http.Response) (body []byte, whole bool, err error) {
	body, err = readAll(io.LimitReader(response.Body, g.config.MaxAnswerBytes+1), response.ContentLength)
	if err != nil {
		return nil, false, err
	}
	rest := response.Body
	whole = int64(len(body)) <= g.config.MaxAnswerBytes
	if whole {
		_ = rest.Close()
		response.Body = io.NopCloser(bytes.NewReader(body))
	} else {
		response.Body = readCloser{io.MultiReader(bytes.NewReader(body), rest), rest}
	}
	return body, whole, nil
}

type readCloser struct {
	io.Reader
	io.Closer
}

// hold puts an answer aside. It reports false if the answer is too large to be
// held, so that the caller must get it now.
func (g *Gateway) hold(c *Call, response *http.Response) bool {
	body, whole, err := g.buffer(response)
	if err == nil && whole {
		c.held = &heldAnswer{c.server, response, body}
	}
	return err != nil || whole
}

// deliver sends a whole answer of a server.
func (g *Gateway) deliver(c *Call, response *http.Response, body []byte) *failure {
	header := c.w.Header()
	copyHeader(header, response.Header)
	removeHopByHopHeaders(header)
	if err := g.sendWhole(c, response.StatusCode, body); err != nil {
		return callerGone()
	}
	return nil
}
