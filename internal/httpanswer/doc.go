// Package httpanswer decides what a whole answer of an HTTP/1.1 server is (RFC 9112), for everything that
// reads answers: requests to backend servers, direct and relayed, late heads, calls to their control
// interface and to the platform's store, and the product's own edge.
//
// A head has a status from 100 to 599 and field names that are tokens; the standard library accepts
// others. Informational heads are skipped, but for 101, as no instance asks for another protocol. An
// answer that ends with its connection is whole if the request was written to its end: a connection that
// is reset reports that once, to the writer or to the reader, which then sees the end of the stream.
package httpanswer
