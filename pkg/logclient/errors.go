package logclient

import "github.com/go-faster/errors"

// Errors of this package.
var (
	// ErrFull means that too many appends are pending. Nothing was sent.
	ErrFull = errors.New("too many pending appends")
	// ErrUnsettled means that the record is possibly on the log or can still
	// appear there.
	ErrUnsettled = errors.New("append not settled")
	// ErrNotAppended means that the record is not on the log and will not
	// appear there.
	ErrNotAppended = errors.New("not appended")
	// ErrClosed means that Run has ended.
	ErrClosed = errors.New("log client closed")
	// errGap means that no state is available that the retained records
	// continue.
	errGap = errors.New("no state joins the retained log")
)
