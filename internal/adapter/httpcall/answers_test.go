package httpcall

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/httpanswer/answertest"
)

// The transport of the product's own edge took the same bytes for answers as the platform's (see
// platform.TestWhatIsAWholeAnswer).
func TestWhatIsAWholeAnswer(t *testing.T) {
	for _, a := range append(append(answertest.Heads(), answertest.Endings()...), answertest.Uploads()...) {
		t.Run(a.Name, func(t *testing.T) {
			t.Parallel()
			var body []byte
			if a.Early || strings.HasPrefix(a.Name, "late") {
				body = make([]byte, answertest.UploadBytes)
			}
			address := answertest.Serve(t, a, func(http.Header) string { return "" })
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/x", bytes.NewReader(body))
			require.NoError(t, err)
			resp, err := Send(NewClient(), r)
			var got []byte
			if err == nil {
				got, err = io.ReadAll(resp.Body)
				assert.NoError(t, resp.Body.Close())
			}
			if !a.Whole {
				assert.Error(t, err, "the body is %q", got)
				return
			}
			assert.NoError(t, err)
			assert.Equal(t, a.Want, string(got))
		})
	}
}
