// Package identitypeer carries the calls of pkg/identity between instances, in
// the messages of the peer protocol, and keeps each instance's History.
package identitypeer
