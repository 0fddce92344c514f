package httpanswer_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"golang.org/x/net/http/httpguts"

	"github.com/cyclamenhoist/cyclamenhoist/internal/httpanswer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/httpanswer/answertest"
)

// Whatever a server sends, what is read as a head has a final status and fields that can be passed on.
func FuzzReadHead(f *testing.F) {
	for _, a := range append(answertest.Heads(), answertest.Endings()...) {
		f.Add([]byte(a.Head + a.Body))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		resp, err := httpanswer.ReadHead(bufio.NewReader(bytes.NewReader(sent)), http.MethodGet)
		if err != nil {
			return
		}
		assert.GreaterOrEqual(t, resp.StatusCode, 200)
		assert.Less(t, resp.StatusCode, 600)
		for name, values := range resp.Header {
			assert.True(t, httpguts.ValidHeaderFieldName(name), "%q", name)
			for _, v := range values {
				assert.NotContains(t, v, "\n")
			}
		}
		upload := httpanswer.NewUpload()
		upload.End(nil)
		body := httpanswer.Body(resp, upload)
		_, err = io.Copy(io.Discard, body)
		_, again := body.Read(make([]byte, 1))
		if err == nil {
			assert.ErrorIs(t, again, io.EOF)
		}
	})
}
