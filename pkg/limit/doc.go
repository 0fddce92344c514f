// Package limit provides limits on the requests to one backend server: an adaptive limit on
// those in flight, and a limit on their rate that the server states and all instances share.
package limit
