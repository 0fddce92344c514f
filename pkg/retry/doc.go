// Package retry decides what follows a failed attempt on a backend server: whether the
// request is retried (Decide, Budget), whether a second attempt is started while a slow
// one is in progress (HedgeConfig), and whether the server is ejected for some time
// (Health, Group).
package retry
