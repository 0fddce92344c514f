package logclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRetryNeedsALaterRead: a read that began before the doubt may have been
// answered before the record landed, so it proves nothing.
func TestRetryNeedsALaterRead(t *testing.T) {
	b := newBook(Config{}.withDefaults())
	_, err := b.add([]byte("x"))
	require.NoError(t, err)
	now := time.Now()
	interrupted := 0
	before, wait := b.beginRead(func() { interrupted++ }, now, time.Second)
	require.Equal(t, time.Second, wait)
	b.unknown(b.take(), now)
	require.Equal(t, 1, interrupted, "the read under way is interrupted")
	b.endRead()

	due := now.Add(time.Minute)
	require.Zero(t, b.reachedEnd(before, due))
	after, wait := b.beginRead(func() {}, now, time.Second)
	require.Less(t, wait, time.Second, "no longer than until the record may be sent again")
	require.Zero(t, b.reachedEnd(after, now), "not before its pause has ended")
	require.Equal(t, 1, b.reachedEnd(after, due))
	require.Len(t, b.take(), 1)
}
