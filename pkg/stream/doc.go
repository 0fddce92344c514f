// Package stream puts a streamed answer together from chunks that carry their
// positions. Chunks that come twice are dropped, chunks that come early wait for
// those before them, and a stream counts as whole only when its end marker has
// come with nothing missing before it.
package stream
