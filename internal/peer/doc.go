// Package peer carries calls between instances over drpc.
package peer
