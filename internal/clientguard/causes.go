package clientguard

import (
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
)

// cause is why a client was refused or its connection closed.
type cause uint8

const (
	causeConnections cause = iota
	causeIdle
	causeSlow
	causeHeadBytes
	causeHeadFields
	causeHeadTimeout
	causeBodyBytes
	causeBodyTimeout
	causeBodyShort
	causeBodyDropped
	causeUnread
	causeResponseDropped
	causePipelined
	causes
)

// causeNames are the causes in metrics and logs.
var causeNames = [causes]string{
	"connection_limit", "idle_replaced", "slow_replaced", "head_bytes", "head_fields", "head_timeout",
	"body_bytes", "body_timeout", "body_refused", "body_dropped", "response_unread", "response_dropped", "pipelined",
}

// logInterval is the minimum time between two log lines of one cause.
const logInterval = 10 * time.Second

// causeLog counts what happened for each cause, and logs it at most once in logInterval.
type causeLog struct {
	listener string
	log      *log.Logger
	counters [causes]metrics.Counter
	// unlogged counts what no line has reported, and loggedAt is when the last line was logged, in
	// nanoseconds after the start of the process; 0 for never.
	unlogged, loggedAt [causes]atomic.Int64
}

func newCauseLog(listener string, logger *log.Logger, registry metrics.Registry) *causeLog {
	l := &causeLog{listener: listener, log: logger}
	for c, name := range causeNames {
		l.counters[c] = metrics.GetOrRegisterCounter("clients_"+listener+"_"+name, registry)
	}
	return l
}

// add counts one event. from is the address of the client.
func (l *causeLog) add(c cause, from string) {
	l.counters[c].Inc(1)
	l.unlogged[c].Add(1)
	now, last := int64(clock()), l.loggedAt[c].Load()
	if last != 0 && now-last < int64(logInterval) || !l.loggedAt[c].CompareAndSwap(last, max(now, 1)) {
		return
	}
	l.log.Warn().Str("listener", l.listener).Str("cause", causeNames[c]).Int64("count", l.unlogged[c].Swap(0)).
		Str("client", from).Msg("clients_refused")
}
