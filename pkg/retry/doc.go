// Package retry decides what follows a failed attempt on a backend server:
// whether the request may be tried again (Decide, Budget), whether a second
// attempt may run beside a slow one (Hedge), and whether the server is left out
// for a while (Health, Group).
package retry
