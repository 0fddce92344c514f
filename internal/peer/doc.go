// Package peer implements calls between instances over DRPC.
package peer
