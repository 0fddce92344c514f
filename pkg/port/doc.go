// Package port defines the interfaces between the decision logic and its external
// dependencies: the platform's log service, the model engines, the plain services,
// the weight store, the live list and the clock.
//
// Each port is one small interface with typed errors. An adapter implements a port
// over a wire protocol; no decision depends on which adapter is in use. Every
// adapter distinguishes two kinds of failed calls: either the call certainly had
// no effect (see HadNoEffect), or it is unknown whether it took effect
// (ErrUnknownOutcome). An adapter never reports the second kind as the first.
package port
