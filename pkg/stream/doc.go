// Package stream reassembles a streamed answer from chunks that carry their positions.
// Duplicate chunks are dropped, and early chunks are buffered until the preceding ones
// have arrived. A stream is complete only if its end marker was received and no chunk
// before it is missing.
package stream
