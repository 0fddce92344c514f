// Package identitypeer implements the calls of pkg/identity between instances with
// the messages of the peer protocol, and tracks the History of the instance.
package identitypeer
