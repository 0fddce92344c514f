package logclient

import "github.com/go-faster/errors"

// The errors of this package.
var (
	// ErrFull says that too many appends are pending; nothing was sent.
	ErrFull = errors.New("too many pending appends")
	// ErrUnsettled says that the record may be on the log or may still get there.
	ErrUnsettled = errors.New("append not settled")
	// ErrNotAppended says that the record is not on the log and won't be.
	ErrNotAppended = errors.New("not appended")
	// ErrClosed says that Run has ended.
	ErrClosed = errors.New("log client closed")
	// errGap says that no known state continues in the retained records.
	errGap = errors.New("no state joins the retained log")
)
