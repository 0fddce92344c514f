// Package port names everything outside the decision logic: the platform's log
// service, the model engines, the plain services, the weight store, the live
// list, the clock and the links between instances.
//
// Each port is one small interface with typed errors. An adapter turns a wire
// protocol into a port; no decision depends on which adapter is in use. Every
// adapter reports a failed call as one of two kinds: the effect certainly did
// not happen (ErrNotSent, ErrRefused, ErrFenced), or it is not known whether it
// happened (ErrUnknownOutcome). No adapter ever reports the second as the first.
package port
