package edge

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	// bufferedAnswerBytes is the size up to which an answer is buffered. A longer one is forwarded
	// as it arrives.
	bufferedAnswerBytes = 1 << 20
	// firstAnswerBytes is the size of the first buffer for an answer, and unreservedAnswerBytes that of
	// the largest one that counts as a part of the client's connection.
	firstAnswerBytes      = 512
	unreservedAnswerBytes = 16 << 10
	// copyBufferBytes is the size of the parts in which a longer one is forwarded.
	copyBufferBytes = 32 << 10
)

// bufferedAnswer is a whole answer of a server.
type bufferedAnswer struct {
	answer *platform.Answer
	body   []byte
}

// forwardBuffered reads the whole answer before it writes any of it to the client, so
// that a truncated answer can still be requested from another server. This isn't possible
// with an answer that is too long to be buffered.
func (a *attempt) forwardBuffered() retry.Fault {
	q := a.request
	if a.body == nil {
		if err := a.readAnswer(); err != nil {
			return retry.FaultAfterFirstByte
		}
	}
	switch {
	case a.serverFailed() && q.repeatAfterError():
		a.setAside()
		return retry.FaultServerError
	case q.headWritten:
		a.closeUnread()
		return retry.FaultAfterFirstByte // an error cannot follow the events already sent
	case !q.handover.goOn(a, 0):
		a.closeUnread()
		return retry.FaultTimeout
	case !a.whole:
		return a.forwardLong()
	}
	q.writeBuffered(&bufferedAnswer{answer: a.answer, body: a.body})
	return retry.FaultNone
}

// serverFailed reports whether the answer is a server's error.
func (a *attempt) serverFailed() bool { return a.answer.Status >= http.StatusInternalServerError }

// setAside keeps a server's error for the client in case no other server answers.
func (a *attempt) setAside() {
	a.closeUnread()
	if a.whole {
		a.failedAnswer = &bufferedAnswer{answer: a.answer, body: a.body}
	}
}

// closeUnread closes an answer that hasn't been read to its end.
func (a *attempt) closeUnread() {
	if !a.whole {
		a.answer.Close(false)
	}
}

// writeBuffered writes a whole answer to the client.
func (q *request) writeBuffered(b *bufferedAnswer) {
	q.writeHead(b.answer, len(b.body))
	q.client.SendResponse()
	// The HTTP server handles a disconnected client, so the error is ignored.
	_, _ = q.w.Write(b.body)
}

// repeatAfterError reports whether the request is retried on another server after a
// server error.
func (q *request) repeatAfterError() bool {
	return q.route.Kind == fleet.KindSafe && q.handover.repeatable() && time.Until(q.deadline) > minServiceTime
}

// readAnswer reads the answer until its end, or until it is too long to be buffered: for any, or for the
// memory that is left.
func (a *attempt) readAnswer() error {
	body := make([]byte, 0, firstAnswerBytes)
	for {
		if len(body) == cap(body) {
			larger := 2 * cap(body)
			if larger > unreservedAnswerBytes && !a.request.client.ReserveResponse(int64(larger-len(body))) {
				a.body = body
				return nil
			}
			body = append(make([]byte, 0, larger), body...)
		}
		n, err := a.answer.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err != nil && !errors.Is(err, io.EOF):
			a.answer.Close(false)
			return err
		case len(body) > bufferedAnswerBytes:
			a.body = body
			return nil
		case err != nil:
			a.body, a.whole = body, true
			a.answer.Close(true)
			return nil
		}
	}
}

// forwardLong forwards an answer of which a part has been read. If it breaks off, so does the
// client's connection.
func (a *attempt) forwardLong() retry.Fault {
	q := a.request
	q.partForwarded = true
	q.writeHead(a.answer, -1)
	fromServer := &trackedReader{Reader: a.answer.Body}
	_, err := q.w.Write(a.body)
	if err == nil {
		_, err = io.CopyBuffer(writerOnly{q.w}, fromServer, make([]byte, copyBufferBytes))
	}
	a.answer.Close(err == nil)
	if fromServer.failed {
		return retry.FaultAfterFirstByte
	}
	// The HTTP server handles a disconnected client.
	return retry.FaultNone
}

// trackedReader remembers whether reading has failed.
type trackedReader struct {
	io.Reader

	failed bool
}

// Read implements io.Reader.
func (r *trackedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.failed = r.failed || err != nil && !errors.Is(err, io.EOF)
	return n, err
}

// writerOnly hides the other methods of a writer, so that copies to it use their own buffer.
type writerOnly struct{ io.Writer }
