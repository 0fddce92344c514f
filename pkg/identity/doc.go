// Package identity makes sure that a request which isn't repeatable runs at most
// once, however often and wherever it arrives.
package identity
