package relay

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/internal/httpanswer/answertest"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// A relay hid that the server had reset its connection while a long upload was written to it: its writer got the
// error, and its reader passed the end of the stream on as the end of the answer.
func TestRelayedAnswersAreWhole(t *testing.T) {
	f := newFixture(t, true)
	f.relay.cfg.Follow = func(string) Exchanges {
		return platform.NewExchanges(func(platform.RelayedRequest) bool { return true }, func(platform.RelayedRequest, *platform.Answer) {})
	}
	servers := platform.NewServersWithDial(f.dialer.Dial)
	for _, a := range append(append(answertest.Heads(), answertest.Endings()...), answertest.Uploads()...) {
		t.Run(a.Name, func(t *testing.T) {
			var body []byte
			if a.Early || strings.HasPrefix(a.Name, "late") {
				body = make([]byte, answertest.UploadBytes)
			}
			address := answertest.Serve(t, a, func(http.Header) string { return "" })
			answer, err := servers.Send(t.Context(), platform.Call{
				Server: &fleet.Server{ID: "s", Address: address}, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{},
				Body: body, RequestID: "id", Remaining: time.Minute, ResumeAfter: -1, NewConnection: true,
			})
			var got []byte
			if err == nil {
				got, err = io.ReadAll(answer.Body)
				answer.Close(false)
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
